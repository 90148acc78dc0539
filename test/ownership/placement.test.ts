import test from 'ava'
import { request } from 'undici'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const LOAD_TIME = 150

// Operators change a pool's placement while its servers still load the previous one from a slow weight store, and one
// of the ordering daemons is killed. The servers must end with the last placement, and not exceed the concurrent loads.
test('servers end with the last placement, within the slots for loads', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const options = { weightBytes: LOAD_TIME, weightBytesPerSecond: 1_000 }
  const servers = await Promise.all(['a', 'b', 'c', 'd'].map(async domain => await fleet.addServer(`engine-${domain}`, domain, { pool: 'charter-engines', kind: 'engine', options })))
  const daemons = await Promise.all(['a', 'b', 'c'].map(async domain => await fleet.addDaemon(`entry-${domain}`, domain)))
  const read = async (path: string): Promise<readonly any[]> => await Promise.all(servers.map(async ({ instance }) => await (await request(`http://127.0.0.1:${instance.port}${path}`)).body.json()))
  const folder = readFolder('demo/folder').unwrap()
  const place = (models: readonly string[]) => ({ ...folder, placement: { 'charter-engines': { models, role: 'decode', checksFencing: true } } })

  const version = await fleet.apply(place(['charter-7b@1', 'adapter-a']))
  await fleet.waitUntil(async () => (await read('/state')).some(({ models }) => models.length === 2))
  await fleet.apply(place(['charter-7b@2']), version)
  daemons[2]!.child.signal('SIGKILL')
  await fleet.unregister('entry-c')
  await fleet.waitUntil(async () => (await read('/state')).every(({ role, models }) => role === 'decode' && models.length === 1 && models[0].model === 'charter-7b@2' && models[0].state === 'loaded'))

  const orders = (await read('/control/orders')).map(answer => answer.orders as any[])
  t.true(orders.every(taken => taken.every((order, i) => i === 0 || order.fencing >= taken[i - 1].fencing)))
  const loads = orders.flatMap(listLoads).sort((a, b) => a - b)
  t.true(loads.every((at, i) => loads.slice(i).filter(other => other < at + LOAD_TIME).length <= 2))
})

/**
 * Returns when a server began to load a model. A repeated order for a model that it loads or has, which two owners may
 * send at the same time, loads nothing.
 */
function listLoads (orders: ReadonlyArray<{ readonly kind: string, readonly model: string, readonly at: number }>): readonly number[] {
  const present = new Set<string>()
  return orders.flatMap(({ kind, model, at }) => {
    const begins = kind === 'load' && !present.has(model)
    if (kind === 'load') present.add(model)
    if (kind === 'unload') present.delete(model)
    return begins ? [at] : []
  })
}
