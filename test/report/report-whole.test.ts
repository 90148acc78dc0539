import test from 'ava'
import { execFile } from 'node:child_process'
import { mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'
import type { Report } from '../../src/report/report.js'

const DAEMONS = 3
const REQUESTS = 10
const ITEMS = 20
const TOKENS = 4

// Requests and a job go through all daemons, one of which is then killed before it has written its last counts. The report must
// have every run in the log of the engine, except at most as many as it states may be missing, and none twice.
test('the weekly report matches the log of the engine, and bounds the requests missing from a killed daemon', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const [engine] = await Promise.all([
    fleet.addServer('engine-0', 'domain-0', { pool: 'charter-engines', kind: 'engine' }),
    ...Array.from({ length: DAEMONS }, async (_, i) => await fleet.addDaemon(`entry-${i}`, `domain-${i}`))
  ])
  const { callers, ...rest } = readFolder('demo/folder').unwrap()
  await fleet.apply({ ...rest, callers: { ...callers, 'quay-desk': { ...callers['quay-desk']!, team: 'keelmoor' } } })
  for (const daemon of fleet.daemons) {
    const client = new CallerClient(fleet.url(daemon), 'quay-desk-token')
    await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => t.is((await client.chat('berth-assistant', `Question ${i}`, { tokens: TOKENS, stream: i % 2 === 0 })).status, 200)))
  }
  const client = new CallerClient(fleet.url(fleet.daemons[0]!), 'night-desk-token')
  const lines = Array.from({ length: ITEMS }, (_, i) => ({ custom_id: `draft-${i}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'berth-assistant', max_tokens: TOKENS, messages: [{ role: 'user', content: `Draft ${i}` }] } }))
  const job = await client.submit(await client.upload(lines))
  await fleet.waitUntil(async () => (await client.readJob(job.id)).status === 'completed')

  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-report-'))
  const report = async (...more: readonly string[]): Promise<string> => (await promisify(execFile)(process.execPath, ['dist/citronwheel.cjs', 'report', '--entry', fleet.url(fleet.daemons[0]!), '--token', fleet.operatorToken, ...more])).stdout
  const runs = await fleet.readLog(engine)
  const { now } = JSON.parse(await report('--json')) as Report
  t.deepEqual(now.bound, { asked: 0, runs: [], silent: [], partial: [] })
  t.is(now.total.online.answered + now.total.batch.answered, runs.length)
  t.is(runs.length, DAEMONS * REQUESTS + ITEMS)
  t.is(now.total.online.tokens + now.total.batch.tokens, runs.length * TOKENS)
  t.deepEqual(now.total.batch.jobs, { 'on time': 1 })
  t.is(now.teams.find(({ name }) => name === 'keelmoor')?.online.answered, DAEMONS * REQUESTS)
  t.deepEqual(now.times.map(({ name, count }) => [name, count]), [['berth-assistant/first token', DAEMONS * REQUESTS / 2], ['berth-assistant/whole answer', DAEMONS * REQUESTS]])

  // The report is read from the first daemon, so another one is killed.
  await fleet.kill(fleet.daemons.at(-1)!.instance.name)
  const text = await report('--html', join(folder, 'report.html'), '--csv', join(folder, 'report.csv'))
  const [, bound = '0'] = /up to (\d+) online requests may be missing, from 1 run/.exec(text) ?? []
  const csv = readFileSync(join(folder, 'report.csv'), 'utf8').trim().split('\r\n').map(line => line.split(','))
  const answered = csv.filter(fields => fields[1] === 'quay-desk').reduce((sum, fields) => sum + Number(fields[csv[0]!.indexOf('answered')]), 0)
  t.true(answered <= DAEMONS * REQUESTS && answered + Number(bound) >= DAEMONS * REQUESTS, `${answered} answered, up to ${bound} may be missing`)
  t.regex(readFileSync(join(folder, 'report.html'), 'utf8'), /<svg/)
  t.log({ runs: runs.length, answeredAfterKill: answered, bound: Number(bound) })
  t.log(text)
})
