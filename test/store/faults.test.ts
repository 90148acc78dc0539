import test from 'ava'
import { listPages } from '../../src/store/list-pages.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { FaultPlan } from '../../stand-ins/platform/fault-plan.js'
import { Platform } from '../../stand-ins/platform/platform.js'
import type { PlatformFaults } from '../../stand-ins/platform/platform-faults.js'

const unknown = { type: 'unknown', reason: 'no reply' } as const
/** How long a call waits for an answer, ms: one that must have one, and one that must have none. */
const ANSWER_TIMEOUT = 10_000
const NO_ANSWER_TIMEOUT = 300

async function startPlatform (t: { teardown: (end: () => void) => void }): Promise<(method: string, path: string, body?: unknown, timeout?: number) => Promise<{ status: number, body: any }>> {
  const platform = new Platform()
  const port = await platform.listen(0)
  t.teardown(() => platform.close())
  return async (method, path, body, timeout = ANSWER_TIMEOUT) => {
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, { method, body: body === undefined ? null : JSON.stringify(body), signal: AbortSignal.timeout(timeout) })
    return { status: answer.status, body: await answer.json() }
  }
}

test('the same seed affects the same calls', t => {
  const faults: PlatformFaults = { lostReplies: 0.3, delayedWrites: { share: 0.3, delay: 1 }, seed: 5 }
  const draw = (plan: FaultPlan): string => Array.from({ length: 50 }, () => plan.chooseWriteOutcome()).join()
  t.is(draw(new FaultPlan(faults)), draw(new FaultPlan(faults)))
  t.not(draw(new FaultPlan(faults)), draw(new FaultPlan({ ...faults, seed: 6 })))
})

test('outages, lost replies, delayed writes, stale reads and the lagging list over HTTP', async t => {
  const call = await startPlatform(t)
  const write = async (name: string): Promise<unknown> => await call('PUT', `/objects/k/${name}`, { value: name, version: 0, writeId: 'w' }, NO_ANSWER_TIMEOUT)
  const read = async (name: string, timeout?: number): Promise<number> => (await call('GET', `/objects/k/${name}`, undefined, timeout)).status
  const set = async (faults: PlatformFaults): Promise<unknown> => await call('POST', '/control/faults', faults)
  await set({ outage: 'refused' })
  t.is(await read('a'), 503)
  for (const outage of ['reset', 'silent'] as const) {
    await set({ outage })
    await t.throwsAsync(read('a', NO_ANSWER_TIMEOUT), { any: true })
  }
  await set({ lostReplies: 1 })
  await t.throwsAsync(write('a'), { any: true })
  t.is(await read('a'), 200)
  await set({ delayedWrites: { share: 1, delay: 50 } })
  await t.throwsAsync(write('b'), { any: true })
  t.is(await read('b'), 404)
  await set({ oldReads: { share: 1, lag: 60_000 }, instanceLag: 60_000 })
  await call('PUT', '/control/instances/i', { name: 'i' })
  t.is(await read('a'), 404)
  t.deepEqual((await call('GET', '/objects/k')).body.objects, [])
  t.deepEqual((await call('GET', '/instances')).body.instances, [])
  await set({})
  while (await read('b') !== 200) await new Promise(resolve => setImmediate(resolve))
  t.is((await call('GET', '/instances')).body.instances.length, 1)
  await set({ writesPerSecond: 0 })
  t.is((await call('DELETE', '/objects/k/a?version=1')).status, 429)
})

// Guards against a fault that is no late write: answered, cut like a lost reply, or applied at a time that all calls share.
test('late writes bring no answer and are applied at different times', async t => {
  const call = await startPlatform(t)
  await call('POST', '/control/faults', { delayedWrites: { share: 1, delay: 350, most: 800, isSilent: true } })
  const error = await t.throwsAsync(call('PUT', '/objects/k/late', { value: 1, version: 0 }), { any: true })
  t.is((error as Error).name, 'TimeoutError')
  const plan = new FaultPlan({ delayedWrites: { share: 1, delay: 1_000, most: 6_000 }, seed: 5 })
  const delays = Array.from({ length: 100 }, () => plan.chooseWriteDelay())
  t.true(delays.every(delay => delay >= 1_000 && delay < 6_000))
  t.true(Math.max(...delays) - Math.min(...delays) > 3_000)
  await call('POST', '/control/faults', {})
  while ((await call('GET', '/objects/k/late')).status !== 200) await new Promise(resolve => setTimeout(resolve, 10))
})

test('the in-memory store applies delayed writes on demand and returns stale reads', async t => {
  const store = new MemoryStore()
  await store.put('k', 'a', 1, 0)
  store.keepSnapshot()
  store.fault = ({ call }) => call === 'put' ? { landLater: unknown } : 'old read'
  t.deepEqual((await store.put('k', 'a', 2, 1)).val, unknown)
  store.runDelayed()
  t.is((await store.get<number>('k', 'a')).unwrap().value, 1)
  store.fault = () => 'none'
  t.is((await store.get<number>('k', 'a')).unwrap().value, 2)
})

test('pages contain every object once, and end after an error', async t => {
  const store = new MemoryStore()
  for (let i = 0; i < 25; i++) await store.put('k', `n-${String(i).padStart(2, '0')}`, i, 0)
  const read = async (): Promise<unknown[]> => {
    const seen: unknown[] = []
    for await (const page of listPages<number>(store, 'k', { prefix: 'n-', page: 10 })) seen.push(...page.ok ? page.val.map(({ value }) => value) : [page.val])
    return seen
  }
  t.deepEqual(await read(), Array.from({ length: 25 }, (_, i) => i))
  store.fault = () => ({ fail: unknown })
  t.deepEqual(await read(), [unknown])
})
