import test from 'ava'
import OpenAI from 'openai'
import { Fleet } from '../../harness/fleet.js'

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const MODEL = 'berth-assistant'

async function startFleet (): Promise<Fleet> {
  const fleet = await Fleet.start()
  await Promise.all([
    ...DOMAINS.map(async domain => await fleet.addServer(`engine-${domain}`, domain, { pool: 'charter-engines', kind: 'engine' })),
    ...DOMAINS.map(async domain => await fleet.addDaemon(`entry-${domain}`, domain))
  ])
  await fleet.apply('demo/folder')
  return fleet
}

test('the official OpenAI client works unchanged: models, answers, streams, files and batches', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const client = new OpenAI({ baseURL: `${fleet.url(fleet.daemons[0]!)}/v1`, apiKey: 'quay-desk-token', maxRetries: 0 })

  const models = await client.models.list()
  t.deepEqual(models.data.map(({ id }) => id), [MODEL])

  const messages = [{ role: 'user' as const, content: 'When is high tide?' }]
  const whole = await client.chat.completions.create({ model: MODEL, messages, max_tokens: 6 })
  const parts: string[] = []
  for await (const event of await client.chat.completions.create({ model: MODEL, messages, max_tokens: 6, stream: true })) {
    parts.push(event.choices[0]?.delta.content ?? '')
  }
  t.is(parts.join(''), whole.choices[0]!.message.content!)

  const lines = Array.from({ length: 5 }, (_, n) => JSON.stringify({ custom_id: `d${n}`, method: 'POST', url: '/v1/chat/completions', body: { model: MODEL, messages, max_tokens: 4 } }))
  const file = await client.files.create({ purpose: 'batch', file: new File([lines.join('\n')], 'drafts.jsonl') })
  const batch = await client.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
  await fleet.waitUntil(async () => (await client.batches.retrieve(batch.id)).status === 'completed')
  const done = await client.batches.retrieve(batch.id)
  t.deepEqual(done.request_counts as unknown, { total: 5, completed: 5, failed: 0, cancelled: 0 })
  const output = await (await client.files.content(done.output_file_id!)).text()
  t.deepEqual(output.trim().split('\n').map(line => JSON.parse(line).custom_id).sort(), ['d0', 'd1', 'd2', 'd3', 'd4'])
  const listed = await client.batches.list()
  t.true(listed.data.some(({ id }) => id === batch.id))
})

test('the OpenAI client maps our errors to its own types: a wrong token, an unknown model', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const baseURL = `${fleet.url(fleet.daemons[0]!)}/v1`
  const wrong = new OpenAI({ baseURL, apiKey: 'nobody', maxRetries: 0 })
  await t.throwsAsync(async () => await wrong.models.list(), { instanceOf: OpenAI.AuthenticationError, message: /token/ })
  const client = new OpenAI({ baseURL, apiKey: 'quay-desk-token', maxRetries: 0 })
  await t.throwsAsync(async () => await client.chat.completions.create({ model: 'nothing', messages: [] }), { instanceOf: OpenAI.BadRequestError, message: /there is no nothing/ })
})
