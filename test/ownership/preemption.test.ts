import test from 'ava'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'
import { createAnswerWords } from '../../stand-ins/engine/create-answer-words.js'
import type { RunRecord } from '../../stand-ins/engine/run-record.js'

const ITEMS = 24
const TOKENS = 60
const ONLINE = 12
/** Most time by which the owner may close streams before the online request reaches the engine, ms. */
const HEAD_START = 50

// Online requests arrive through two daemons at a server full of batch streams. The streams must be closed at once and
// later resume from their tokens, so that no item is lost, repeated or changed.
test('batch streams are preempted by online requests and resume from their tokens', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const engine = await fleet.addServer('engine-0', 'domain-a', { pool: 'charter-engines', kind: 'engine', options: { stepBase: 10 } })
  await Promise.all(['a', 'b'].map(async domain => await fleet.addDaemon(`entry-${domain}`, `domain-${domain}`)))
  const folder = readFolder('demo/folder').unwrap()
  await fleet.apply({ ...folder, models: { 'charter-7b': { ...folder.models['charter-7b']!, resume: true } } })
  const callers = fleet.daemons.map(daemon => new CallerClient(fleet.url(daemon), 'quay-desk-token'))
  const readRuns = async (): Promise<readonly RunRecord[]> => await fleet.readLog(engine)
  const isItem = ({ body }: RunRecord): boolean => body.includes('Draft')

  const file = await callers[0]!.upload(Array.from({ length: ITEMS }, (_, i) => ({
    custom_id: `item-${i}`,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: 'berth-assistant', max_tokens: TOKENS, messages: [{ role: 'user', content: `Draft ${i}` }] }
  })))
  const job = await callers[0]!.submit(file)
  await fleet.waitUntil(async () => (await readRuns()).filter(run => isItem(run) && run.outcome === 'running' && run.tokens! > 1).length >= 8)
  const online = await Promise.all(Array.from({ length: ONLINE }, async (_, i) => await callers[i % 2]!.chat('berth-assistant', `Question ${i}`, { stream: true, tokens: 20 })))
  t.true(online.every(({ status, text }) => status === 200 && text.endsWith('data: [DONE]\n\n')))
  await fleet.waitUntil(async () => (await callers[0]!.readJob(job.id)).status === 'completed')

  const runs = await readRuns()
  const firstOnline = runs.find(run => !isItem(run))!
  const met = runs.filter(run => isItem(run) && run.at < firstOnline.at && run.endedAt! > firstOnline.at - HEAD_START)
  const preempted = met.filter(({ outcome }) => outcome === 'cancelled')
  t.log(`${met.length} streams met online requests, ${preempted.length} were preempted after ${preempted.map(({ endedAt }) => endedAt! - firstOnline.at).join(', ')} ms`)
  t.true(preempted.length >= met.length / 2)
  t.true(runs.some(run => isItem(run) && run.body.includes('resume_from')))
  const results = await callers[0]!.readResults(job.id, 'output')
  t.deepEqual(results.map(line => line.response.body.choices[0].message.content).sort(), Array.from({ length: ITEMS }, (_, i) => createAnswerWords(`Draft ${i}`, TOKENS).join(' ')).sort())
  t.true(results.every(line => line.response.body.usage.completion_tokens === TOKENS))
})
