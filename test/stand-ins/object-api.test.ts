import test, { type ExecutionContext } from 'ava'
import { ObjectApi } from '../../stand-ins/machines/object-api.js'

async function start (t: ExecutionContext): Promise<ObjectApi> {
  const store = new ObjectApi()
  await store.start()
  t.teardown(() => store.stop())
  return store
}

async function call (port: number, method: string, path: string, body?: unknown): Promise<number> {
  const answer = await fetch(`http://127.0.0.1:${port}/api/objects/${path}`, { method, body: body === undefined ? null : JSON.stringify(body), signal: AbortSignal.timeout(200) })
  await answer.text()
  return answer.status
}

// Guards against a soak whose late writes are answered, or never take effect.
test('a late write is not answered, and takes effect later if its condition still holds', async t => {
  const store = await start(t)
  store.put('k', 'overtaken', 'first')
  store.faults = { lateWrites: () => 800 }
  await t.throwsAsync(call(store.port, 'POST', 'k', { metadata: { name: 'new' }, spec: 'late' }), { any: true })
  await t.throwsAsync(call(store.port, 'PUT', 'k/overtaken', { metadata: { revision: 1 }, spec: 'late' }), { any: true })
  t.is(store.objects.read('k', 'new'), undefined)
  store.put('k', 'overtaken', 'second')
  store.faults = {}
  while (await call(store.port, 'GET', 'k/new') !== 200) await new Promise(resolve => setTimeout(resolve, 10))
  await new Promise(resolve => setTimeout(resolve, 800))
  t.is(store.objects.read('k', 'new')?.value, 'late')
  t.is(store.objects.read('k', 'overtaken')?.value, 'second')
})

// Guards against a soak in which a store that is away for one daemon is away for all, or for none.
test('the store is away for the callers of one port only', async t => {
  const store = await start(t)
  const port = await store.openPort()
  store.put('k', 'a', 1)
  for (const [down, status] of [['busy', 503], ['limited', 429]] as const) {
    store.downAtPort.set(port, down)
    t.is(await call(port, 'GET', 'k/a'), status)
    t.is(await call(store.port, 'GET', 'k/a'), 200)
  }
  store.downAtPort.set(port, 'silent')
  await t.throwsAsync(call(port, 'GET', 'k/a'), { any: true })
  await t.throwsAsync(call(port, 'GET', 'k?watch=0&wait_ms=10'), { any: true })
  store.downAtPort.delete(port)
  t.is(await call(port, 'GET', 'k/a'), 200)
})
