import test from 'ava'
import { request } from 'undici'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const LATER = 1_500

// An owner that resumes with its old configuration and claims must not revert a placement that others changed while it was paused,
// whether or not servers check fencing numbers.
for (const checksFencing of [true, false]) {
  test(`an owner that was paused doesn't restore an old placement, fencing ${checksFencing ? 'checked' : 'ignored'}`, async t => {
    const fleet = await Fleet.start()
    t.teardown(async () => await fleet.stop())
    const options = { checksFencing, weightBytes: 1_000, weightBytesPerSecond: 100_000 }
    const servers = await Promise.all(['a', 'b', 'c', 'd'].map(async domain => await fleet.addServer(`engine-${domain}`, domain, { pool: 'charter-engines', kind: 'engine', options })))
    const daemons = await Promise.all(['a', 'b', 'c'].map(async domain => await fleet.addDaemon(`entry-${domain}`, domain)))
    const read = async (path: string): Promise<readonly any[]> => await Promise.all(servers.map(async ({ instance }) => await (await request(`http://127.0.0.1:${instance.port}${path}`)).body.json()))
    const folder = readFolder('demo/folder').unwrap()
    const place = (model: string) => ({ ...folder, placement: { 'charter-engines': { models: [model], checksFencing } } })
    const haveAll = async (model: string): Promise<boolean> => (await read('/state')).every(({ models }) => models.length === 1 && models[0].model === model && models[0].state === 'loaded')

    const version = await fleet.apply(place('old'))
    await fleet.waitUntil(async () => await haveAll('old'))
    const paused = daemons[2]!
    t.teardown(() => paused.child.signal('SIGKILL'))
    paused.child.signal('SIGSTOP')
    fleet.daemons.splice(fleet.daemons.indexOf(paused), 1)
    await fleet.unregister(paused.instance.name)
    await fleet.apply(place('new'), version)
    await fleet.waitUntil(async () => await haveAll('new'))
    await fleet.register(paused.instance)
    paused.child.signal('SIGCONT')
    const resumed = Date.now()
    await fleet.waitUntil(async () => Date.now() > resumed + LATER)
    t.true(await haveAll('new'))
    const orders = (await read('/control/orders')).map(answer => answer.orders as any[])
    t.true(orders.every(taken => taken.every((order, i) => i === 0 || order.fencing >= taken[i - 1].fencing)))
    t.deepEqual(orders.flat().filter(({ kind, model, at }) => at >= resumed && (kind === 'load') !== (model === 'new')), [])
  })
}
