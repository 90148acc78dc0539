import test from 'ava'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const ITEMS = 30

test('a caller reads entry addresses, gets complete answers and the results of a batch job', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  await Promise.all([
    ...DOMAINS.map(async domain => await fleet.addServer(`engine-${domain}`, domain, { pool: 'charter-engines', kind: 'engine' })),
    ...DOMAINS.map(async domain => await fleet.addDaemon(`entry-${domain}`, domain)),
    fleet.addServer('booking-0', DOMAINS[0]!, { pool: 'booking-desk', kind: 'service' })
  ])
  await fleet.apply('demo/folder')
  const caller = new CallerClient(fleet.url(fleet.daemons[0]!), 'quay-desk-token')
  await fleet.waitUntil(async () => JSON.parse((await caller.call('GET', '/v1/addresses')).text).addresses.length === DOMAINS.length)

  const whole = await caller.chat('berth-assistant', 'When is high tide?')
  t.is(whole.status, 200)
  t.regex(JSON.parse(whole.text).choices[0].message.content, /^\[\w+\] .* \[end\]$/)
  const streamed = await caller.chat('berth-assistant', 'When is high tide?', { stream: true })
  t.true(streamed.text.endsWith('data: [DONE]\n\n'))
  t.is((await caller.call('POST', '/services/bookings/slots', { slot: 3 })).status, 200)

  const file = await caller.upload(Array.from({ length: ITEMS }, (_, i) => ({
    custom_id: `item-${i}`,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: 'berth-assistant', max_tokens: 4, messages: [{ role: 'user', content: i === 7 ? '[impossible]' : `Draft ${i}` }] }
  })))
  const job = await caller.submit(file)
  await fleet.waitUntil(async () => (await caller.readJob(job.id)).status === 'completed')
  t.is((await caller.readResults(job.id, 'output')).length, ITEMS - 1)
  t.deepEqual((await caller.readResults(job.id, 'errors')).map(line => line.custom_id), ['item-7'])
})
