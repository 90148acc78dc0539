import test, { type ExecutionContext } from 'ava'
import { request } from 'undici'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'
import type { ServiceFaults } from '../../stand-ins/service/service-faults.js'

const PATH = '/services/bookings/slots'
const KEY = { 'idempotency-key': 'slot-3' }

async function startFleet (t: ExecutionContext, faults: ServiceFaults, deadline = 60_000) {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const server = await fleet.addServer('booking-0', 'domain-a', { pool: 'booking-desk', kind: 'service' })
  await request(`http://127.0.0.1:${server.instance.port}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
  for (const domain of ['domain-a', 'domain-b']) await fleet.addDaemon(`entry-${domain}`, domain)
  const configuration = readFolder('demo/folder').unwrap()
  await fleet.apply({ ...configuration, limits: { ...configuration.limits, deadline } })
  const [a, b] = fleet.daemons.map(daemon => new CallerClient(fleet.url(daemon), 'quay-desk-token'))
  const members = async (): Promise<number> => (await fleet.operator('GET', fleet.daemons[1]!, '/operator/status')).members.length
  const count = async (): Promise<number> => (await fleet.readLog(server)).length
  return { fleet, a: a!, b: b!, server, members, count }
}

// Guards against a second run of a request that is repeated through another daemon while the first run is in progress.
test('concurrent requests with the same key through two daemons run once', async t => {
  const { a, b, count } = await startFleet(t, { delay: 300 })
  const answers = await Promise.all([a, b, a, b].map(async caller => await caller.call('POST', PATH, { slot: 3 }, KEY)))
  t.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200])
  t.is(new Set(answers.map(({ text }) => text)).size, 1)
  t.is(answers.filter(({ headers }) => headers['idempotency-replayed'] === 'true').length, 3)
  t.is((await a.call('POST', PATH, { slot: 4 }, KEY)).status, 422)
  t.is(await count(), 1)
})

// Guards against a second run after the holder was killed between its send and the answer.
test('a daemon killed before its answer leaves the key unknown, and the request does not run again', async t => {
  const { fleet, a, b, members, count } = await startFleet(t, { silence: true })
  void a.call('POST', PATH, { slot: 3 }, KEY).catch(() => {})
  await fleet.waitUntil(async () => await count() === 1)
  fleet.daemons[0]!.child.signal('SIGKILL')
  await fleet.waitUntil(async () => await members() === 1)
  for (let i = 0; i < 2; i++) {
    const answer = await b.call('POST', PATH, { slot: 3 }, KEY)
    t.is(answer.status, 502)
    t.is(JSON.parse(answer.text).ran, 'unknown')
  }
  t.is(await count(), 1)
})

// Guards against a second run when the holder is paused during the run and resumes after the others consider it dead.
test('a request whose daemon is paused and resumed runs once', async t => {
  const { fleet, a, b, members, count } = await startFleet(t, { delay: 500 })
  const first = a.call('POST', PATH, { slot: 3 }, KEY)
  await fleet.waitUntil(async () => await count() === 1)
  fleet.daemons[0]!.child.signal('SIGSTOP')
  await fleet.waitUntil(async () => await members() === 1)
  t.is((await b.call('POST', PATH, { slot: 3 }, KEY)).status, 502)
  fleet.daemons[0]!.child.signal('SIGCONT')
  t.is((await first).status, 200)
  t.is((await b.call('POST', PATH, { slot: 3 }, KEY)).headers['idempotency-replayed'], 'true')
  t.is(await count(), 1)
})

// Guards against a second run after the server has run the request and its answer was cut or never came.
for (const [name, faults] of [['a cut answer', { cut: true }], ['an unresponsive server', { silence: true }]] as const) {
  test(`${name} leaves the key unknown after one run`, async t => {
    const { a, b, count } = await startFleet(t, faults, 1_500)
    for (const caller of [a, b]) t.is((await caller.call('POST', PATH, { slot: 3 }, KEY)).status, 502)
    const plain = await a.call('POST', PATH, { slot: 4 })
    t.true(plain.status >= 500)
    t.is(await count(), 2)
  })
}

// Guards against a request that is sent without a stored claim.
test('a keyed request in a platform outage is refused as not run', async t => {
  const { fleet, a, count } = await startFleet(t, {})
  await fleet.setPlatformFaults({ outage: 'refused' })
  const answer = await a.call('POST', PATH, { slot: 3 }, KEY)
  t.is(answer.status, 503)
  t.is(JSON.parse(answer.text).ran, 'not run')
  t.truthy(answer.headers['retry-after'])
  t.is(await count(), 0)
  await fleet.setPlatformFaults({})
  // Requests are refused as not run until a probe has succeeded.
  await fleet.waitUntil(async () => {
    const { status, text } = await a.call('POST', PATH, { slot: 3 }, KEY)
    if (status !== 200) t.is(JSON.parse(text).ran, 'not run')
    return status === 200
  })
  t.is(await count(), 1)
})

// Guards against second runs and lost answers when replies to half of the writes are lost after they took effect.
test('each key runs once and replays while replies of the platform are lost', async t => {
  const { fleet, a, b, count } = await startFleet(t, {})
  await fleet.setPlatformFaults({ lostReplies: 0.5, seed: 4 })
  const keys = Array.from({ length: 12 }, (_, i) => ({ 'idempotency-key': `lost-${i}` }))
  const first = await Promise.all(keys.map(async key => await a.call('POST', PATH, key, key)))
  t.deepEqual(first.map(({ status }) => status), keys.map(() => 200))
  const again = await Promise.all(keys.map(async key => await b.call('POST', PATH, key, key)))
  t.deepEqual(again.map(({ text }) => text), first.map(({ text }) => text))
  t.is(await count(), keys.length)
})
