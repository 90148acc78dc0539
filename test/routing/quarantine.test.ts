import test from 'ava'
import { request } from 'undici'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { createAnswerWords } from '../../stand-ins/engine/create-answer-words.js'

const ENGINES = 4
const DAEMONS = 3
const MODEL = 'berth-assistant'
const POISON = 'How high is [crash]?'
const LONG = 120

async function startFleet (): Promise<{ readonly fleet: Fleet, readonly callers: readonly CallerClient[], readonly ended: string[] }> {
  const fleet = await Fleet.start()
  const domains = ['a', 'b', 'c', 'd']
  await Promise.all([
    ...Array.from({ length: ENGINES }, async (_, i) => await fleet.addServer(`engine-${i}`, domains[i]!, { pool: 'charter-engines', kind: 'engine' })),
    ...Array.from({ length: DAEMONS }, async (_, i) => await fleet.addDaemon(`entry-${i}`, domains[i]!))
  ])
  await fleet.apply('demo/folder')
  const ended: string[] = []
  for (const { child, instance } of fleet.servers) void child.waitForExit().then(() => ended.push(instance.name))
  for (const { instance } of fleet.servers) {
    await (await request(`http://${instance.host}:${instance.port}/control/faults`, { method: 'POST', body: JSON.stringify({ crashOn: '[crash]' }) })).body.dump()
  }
  return { fleet, ended, callers: fleet.daemons.map(daemon => new CallerClient(fleet.url(daemon), 'quay-desk-token')) }
}

// A caller sends a crashing prompt through every daemon at once and again, beside other requests. Guards against copies that
// crash one engine each, and against the quarantine of requests that were in flight beside them.
test('a crashing request costs at most two servers, and the requests beside it complete', async t => {
  const { fleet, callers, ended } = await startFleet()
  t.teardown(async () => await fleet.stop())
  const prompts = Array.from({ length: 12 }, (_, i) => `Draft ${i}`)
  const bystanders = prompts.map(async (prompt, i) => await callers[i % DAEMONS]!.chat(MODEL, prompt, { stream: true, tokens: LONG }))
  await fleet.waitUntil(async () => (await Promise.all(fleet.servers.map(async server => (await fleet.readLog(server)).length))).reduce((sum, n) => sum + n, 0) === prompts.length)

  const first = await Promise.all(callers.flatMap(caller => [0, 1].map(async () => await caller.chat(MODEL, POISON))))
  t.deepEqual(first.map(({ status, text }) => status === 422 ? '' : text), first.map(() => ''))
  for (const caller of callers) {
    const begin = performance.now()
    const again = await caller.chat(MODEL, POISON)
    t.is(again.status, 422)
    t.is(JSON.parse(again.text).ran, 'not run')
    t.true(performance.now() - begin < 1_000)
  }
  const answers = await Promise.all(bystanders)
  for (const [i, { status, text }] of answers.entries()) {
    t.false(text.includes('event: error'), text.slice(-400))
    t.is(status, 200)
    const words = text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)).choices?.[0].delta.content)
    t.is(words.join(''), createAnswerWords(prompts[i]!, LONG).join(' '))
    t.true(text.endsWith('data: [DONE]\n\n'))
  }
  t.true(ended.length <= 2, ended.join())
  t.is((await callers[0]!.chat(MODEL, 'When is high tide?')).status, 200)
})
