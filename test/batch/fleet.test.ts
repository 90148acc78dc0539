import 'reflect-metadata'
import test from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import OpenAI from 'openai'
import { runProgram } from '../../src/commands/run-program.js'
import { createClient, ITEMS, lines, startFleet } from './helpers/process-fleet.js'

// Guards against a job that is lost, or created again by a repeated request, when the daemon that acknowledged it is
// killed.
test('a daemon killed right after it acknowledged a job: the job is completed, once', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const [first, second] = [createClient(fleet, 0), createClient(fleet, 1)]
  const file = await first.files.create({ purpose: 'batch', file: new File([lines(ITEMS, 4)], 'drafts.jsonl') })
  const options = { input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' } as const
  const job = await first.batches.create(options, { headers: { 'idempotency-key': 'night-1' } })
  fleet.daemons[0]!.child.signal('SIGKILL')
  await fleet.unregister(fleet.daemons[0]!.instance.name)
  t.is((await second.batches.create(options, { headers: { 'idempotency-key': 'night-1' } })).id, job.id)
  await fleet.waitUntil(async () => (await second.batches.retrieve(job.id)).status === 'completed')
  const done = await second.batches.retrieve(job.id)
  const read = async (): Promise<string> => await (await second.files.content(done.output_file_id!)).text()
  const output = await read()
  t.is(new Set(output.trim().split('\n').map(line => JSON.parse(line).custom_id)).size, ITEMS)
  t.is(await read(), output)
})

// Guards against items that stop, run twice or lose their results while the platform is unavailable.
test('an outage of the platform while items run: they continue, and none runs twice', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const client = createClient(fleet, 0)
  const file = await client.files.create({ purpose: 'batch', file: new File([lines(ITEMS, 30)], 'drafts.jsonl') })
  const job = await client.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
  const countRuns = async (): Promise<number> => (await Promise.all(fleet.servers.map(async server => await fleet.readLog(server)))).flat().filter(({ outcome }) => outcome === 'finished').length
  await fleet.waitUntil(async () => await countRuns() > 0)
  await fleet.setPlatformFaults({ outage: 'refused' })
  const before = await countRuns()
  await fleet.waitUntil(async () => await countRuns() > before + 100)
  await t.throwsAsync(async () => await client.batches.cancel(job.id), { message: /503/ })
  await fleet.setPlatformFaults({})
  await fleet.waitUntil(async () => (await client.batches.retrieve(job.id).catch(() => undefined))?.status === 'completed')
  const output = await (await client.files.content(`${job.id}.output`)).text()
  t.is(new Set(output.trim().split('\n').map(line => JSON.parse(line).custom_id)).size, ITEMS)
  t.is(await countRuns(), ITEMS)
})

async function runJobs (words: readonly string[]): Promise<{ readonly code: number, readonly out: string, readonly err: string }> {
  const [out, err] = [new PassThrough(), new PassThrough()]
  const code = await runProgram(['jobs', ...words], { stdout: out, stderr: err })
  return { code, out: String(out.read() ?? ''), err: String(err.read() ?? '') }
}

test('the jobs commands and an OpenAI client: submit, list, status, results, cancel, refusals', async t => {
  const fleet = await startFleet()
  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-jobs-'))
  t.teardown(async () => {
    rmSync(folder, { recursive: true })
    await fleet.stop()
  })
  const to = ['--entry', fleet.url(fleet.daemons[0]!), '--token', 'quay-desk-token']
  const put = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text)
    return join(folder, name)
  }

  const bad = await runJobs(['submit', put('bad.jsonl', `${lines(2, 4)}\nnonsense\n${lines(1, 4)}`), ...to])
  t.is(bad.code, 1)
  t.regex(bad.err, /line 3: not a JSON object\nline 4: custom_id: draft-0 stands on line 1 already/)
  t.is((await runJobs(['submit', join(folder, 'none.jsonl'), ...to])).code, 2)
  t.is((await runJobs(['list', '--entry', 'http://127.0.0.1:1', '--token', 'x'])).code, 3)
  t.is((await runJobs(['status', 'batch-none', ...to])).code, 1)

  const small = JSON.parse((await runJobs(['submit', put('small.jsonl', lines(5, 4)), '--json', ...to])).out)
  const client = createClient(fleet, 1)
  await fleet.waitUntil(async () => (await client.batches.retrieve(small.id)).status === 'completed')
  t.regex((await runJobs(['status', small.id, ...to])).out, /completed {2}5 completed, 0 failed, 0 cancelled of 5/)
  t.is((await runJobs(['results', small.id, ...to])).out.trim().split('\n').length, 5)

  const large = JSON.parse((await runJobs(['submit', put('large.jsonl', lines(2_000, 200)), '--json', ...to])).out)
  t.is(JSON.parse((await runJobs(['cancel', large.id, '--json', ...to])).out).status, 'cancelling')
  await fleet.waitUntil(async () => (await client.batches.retrieve(large.id)).status === 'cancelled')
  const { total, completed, failed, cancelled } = (await client.batches.retrieve(large.id)).request_counts as unknown as Record<string, number>
  t.is(total, completed! + failed! + cancelled!)
  t.true(cancelled! > 0)

  t.deepEqual((await client.batches.list({ limit: 1 })).data.map(({ id }) => id), [large.id])
  const listed: string[] = []
  for await (const { id } of client.batches.list({ limit: 1 })) listed.push(id)
  t.deepEqual(listed, [large.id, small.id])
  t.true((await client.files.delete(small.input_file_id)).deleted)
  await t.throwsAsync(async () => await client.files.retrieve(small.input_file_id), { message: /404/ })
  const other = new OpenAI({ baseURL: `${fleet.url(fleet.daemons[2]!)}/v1`, apiKey: 'night-desk-token', maxRetries: 0 })
  await t.throwsAsync(async () => await other.batches.retrieve(small.id), { message: /404/ })
  t.deepEqual((await other.batches.list()).data, [])
})
