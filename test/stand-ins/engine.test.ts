import test, { type ExecutionContext } from 'ava'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { findRunMismatch } from '../../bench/hunt/find-run-mismatch.js'
import { readRunFiles } from '../../bench/hunt/read-run-files.js'
import { Engine } from '../../stand-ins/engine/engine.js'
import type { EngineParameters } from '../../stand-ins/engine/engine-parameters.js'

async function startEngine (t: ExecutionContext, parameters: Partial<EngineParameters> = {}): Promise<(path: string, body?: unknown) => Promise<{ status: number, json: any }>> {
  const engine = new Engine(parameters)
  const port = await engine.listen(0)
  t.teardown(() => engine.close())
  return async (path, body) => {
    const answer = await request(`http://127.0.0.1:${port}${path}`, { method: body === undefined ? 'GET' : 'POST', body: typeof body === 'string' ? body : body === undefined ? null : JSON.stringify(body), headers: { 'x-request-id': 'r' } })
    return { status: answer.statusCode, json: await answer.body.json() }
  }
}

const PROMPT = 'When is high tide? '.repeat(40)
const ask = (more = {}): object => ({ model: 'm', max_tokens: 8, messages: [{ role: 'user', content: PROMPT }], ...more })

test('a resumed answer continues after the tokens it was resumed from, and the log counts only its own', async t => {
  const call = await startEngine(t)
  const text = async (more?: object): Promise<string> => (await call('/v1/chat/completions', ask(more))).json.choices[0].message.content
  const words = (await text()).split(' ')
  t.deepEqual((await text({ resume_from: words.slice(0, 5) })).split(' '), words.slice(5))
  t.deepEqual((await call('/control/log')).json.runs.map((run: any) => [run.outcome, run.tokens]), [['finished', 8], ['finished', 3]])
})

test('malformed bodies get a 400 and the engine keeps serving', async t => {
  const call = await startEngine(t)
  for (const body of ['{', '[]', 'null', '{"messages": 1}', '{"messages": [null]}', ask({ max_tokens: -1 }), ask({ resume_from: 'x' }), ask({ kv: 1 })]) {
    t.is((await call('/v1/chat/completions', body)).status, 400)
  }
  t.is((await call('/orders', '{')).status, 400)
  t.is((await call('/orders', { fencing: 1, kind: 'sing' })).status, 400)
  t.is((await call('/kv/export', 'x')).status, 404)
  t.is((await call('/v1/chat/completions', ask())).status, 200)
})

test('an order with an old fencing number is refused if that is checked, and accepted otherwise', async t => {
  for (const checksFencing of [true, false]) {
    const call = await startEngine(t, { checksFencing, weightBytes: 0 })
    await call('/orders', { fencing: 7, kind: 'load', model: 'a' })
    t.is((await call('/orders', { fencing: 6, kind: 'unload', model: 'a' })).status, checksFencing ? 409 : 200)
    t.deepEqual((await call('/state')).json, { models: checksFencing ? [{ model: 'a', state: 'loaded' }] : [], role: 'mixed', fencing: 7 })
  }
})

test('weights load at the rate of the store', async t => {
  const call = await startEngine(t, { weightBytes: 1_000_000, weightBytesPerSecond: 1_000 })
  await call('/orders', { fencing: 1, kind: 'load', model: 'a' })
  t.is((await call('/state')).json.models[0].state, 'loading')
})

test('cache events list stored prefixes', async t => {
  const call = await startEngine(t, { cacheEventLag: 0, cacheEventGaps: 0 })
  await call('/v1/chat/completions', ask())
  const { events } = (await call('/cache-events')).json
  t.is(events.length, Math.floor((PROMPT.length / 4 + 8) / 16))
  t.deepEqual((await call(`/cache-events?after=${events.length}`)).json.events, [])
})

test('with marks each word names its run, and the run file records what a run resumed from and its end', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-engine-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const runFile = join(folder, 'runs')
  const call = await startEngine(t, { runMark: 'e', runFile })
  const text = async (more?: object): Promise<string> => (await call('/v1/chat/completions', ask(more))).json.choices[0].message.content
  const [first, second] = [await text(), await text()]
  t.not(first, second)
  t.is(first.replaceAll('@e/1', ''), second.replaceAll('@e/2', ''))
  const words = first.split(' ').slice(0, 5).map((word, n) => n === 0 ? word : ` ${word}`)
  const rest = await text({ resume_from: words })
  const { ids, engineRuns } = readRunFiles([readFileSync(runFile, 'utf8')])
  t.deepEqual(ids, ['r', 'r', 'r'])
  const find = (answer: string, mayResume = true): string | undefined => findRunMismatch(answer, { id: 'r', runs: engineRuns, mayResume })
  t.is(find(first, false), undefined)
  t.is(find(`${words.join('')} ${rest}`), undefined)
  t.regex(find(`${second.split(' ').slice(0, 5).join(' ')} ${rest}`)!, /other tokens/)
})
