import test from 'ava'
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'
import { createAnswerWords } from '../../stand-ins/engine/create-answer-words.js'

const ENGINES = 4
const DAEMONS = 2
const CALLERS = 60
const ROUNDS = 12
const TOKENS = 8
const KILL_AFTER = 150
/** Attempts after which the test fails; far more than any caller needs. */
const MAX_ATTEMPTS = 2_000

interface Ask { readonly id: string, readonly status: number, readonly ran?: string, readonly retryAfter?: string }

// Guards against a retry storm at the engines that are left when half of them are killed under full load, against `not run`
// for a request that an engine ran, and against requests that are never answered.
test('when half the engines are killed under full load, runs stay within 1.2 per request and every request is answered', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'runs-'))
  const fleet = await Fleet.start()
  t.teardown(async () => {
    await fleet.stop()
    rmSync(folder, { recursive: true })
  })
  const files = Array.from({ length: ENGINES }, (_, i) => join(folder, String(i)))
  await Promise.all([
    ...files.map(async (runFile, i) => await fleet.addServer(`engine-${i}`, `domain-${i}`, { pool: 'charter-engines', kind: 'engine', options: { runFile } })),
    ...Array.from({ length: DAEMONS }, async (_, i) => await fleet.addDaemon(`entry-${i}`, `domain-${i}`))
  ])
  const { version, ...configuration } = { version: 0, ...readFolder('demo/folder').unwrap() }
  await fleet.apply({ ...configuration, models: { 'charter-7b': { ...configuration.models['charter-7b']!, maxInFlight: 4 } } })
  const clients = fleet.daemons.map(daemon => new CallerClient(fleet.url(daemon), 'quay-desk-token'))

  const asks: Ask[] = []
  const ask = async (n: number, round: number): Promise<boolean> => {
    const prompt = `Question ${n} ${round}`
    for (let attempt = 0; ; attempt++) {
      const id = `${n}.${round}.${attempt}`
      const body = { model: 'berth-assistant', max_tokens: TOKENS, messages: [{ role: 'user', content: prompt }] }
      const { status, text, headers } = await clients[(n + attempt) % DAEMONS]!.call('POST', '/v1/chat/completions', body, { 'x-request-id': id })
      if (attempt >= MAX_ATTEMPTS) throw new Error(`${id} is never answered: ${status} ${text}`)
      asks.push({ id, status, ran: status === 200 ? undefined : JSON.parse(text).ran, retryAfter: headers['retry-after'] as string | undefined })
      if (status === 200) return t.is(JSON.parse(text).choices[0].message.content, createAnswerWords(prompt, TOKENS).join(' '))
    }
  }
  const all = Array.from({ length: CALLERS }, async (_, n) => { for (let round = 0; round < ROUNDS; round++) await ask(n, round) })
  await fleet.waitUntil(async () => asks.filter(({ status }) => status === 200).length > KILL_AFTER)
  for (const { child } of fleet.servers.slice(0, ENGINES / 2)) child.signal('SIGKILL')
  await Promise.all(all)

  const runs = files.filter(file => existsSync(file)).flatMap(file => readFileSync(file, 'utf8').trim().split('\n'))
  const refused = asks.filter(({ ran }) => ran === 'not run')
  t.deepEqual(refused.filter(({ id }) => runs.includes(id)), [])
  t.true(asks.every(({ status, retryAfter }) => status === 200 || Number(retryAfter) >= 1))
  t.true(runs.length <= 1.2 * (asks.length - refused.length), `${runs.length} runs, ${asks.length} asks, ${refused.length} not run`)
  t.log({ asks: asks.length, notRun: refused.length, unknown: asks.filter(({ ran }) => ran === 'unknown').length, runs: runs.length })
})
