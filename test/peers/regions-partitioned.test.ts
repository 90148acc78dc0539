import test from 'ava'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readHello } from '../../harness/read-hello.js'
import { Session } from '../../src/peers/session.js'

const REGIONS = ['region-1', 'region-2', 'region-1', 'region-2']

// While two regions are partitioned, each must go on serving its callers. After the partition heals, all daemons must see each other
// and use the configuration that one region's operator applied meanwhile.
test('two regions are partitioned and rejoin, over processes', async t => {
  const fleet = await Fleet.start({ canPartition: true })
  t.teardown(async () => await fleet.stop())
  await Promise.all(REGIONS.slice(0, 2).map(async (region, n) => await fleet.addServer(`engine-${n}`, `domain-${n}`, { pool: 'charter-engines', kind: 'engine', region })))
  for (const [n, region] of REGIONS.entries()) await fleet.addDaemon(`entry-${n}`, `domain-${n}`, { region })
  const version = await fleet.apply('demo/folder')
  const listAlive = async (daemon: typeof fleet.daemons[number]): Promise<string> => {
    const { members } = await fleet.operator('GET', daemon, '/operator/status') as { members: ReadonlyArray<{ instance: { name: string }, state: string }> }
    return members.filter(({ state }) => state === 'alive').map(({ instance }) => instance.name).sort().join()
  }
  fleet.setPartitioned(true)
  await fleet.waitUntil(async () => {
    const seen = await Promise.all(fleet.daemons.map(listAlive))
    return seen.every((names, n) => names === (n % 2 === 0 ? 'entry-0,entry-2' : 'entry-1,entry-3'))
  })
  for (const daemon of fleet.daemons) t.is((await new CallerClient(fleet.url(daemon), 'quay-desk-token').chat('berth-assistant', 'Which berth?')).status, 200)
  const changed = await fleet.operator('PUT', fleet.daemons[0]!, '/operator/configuration', { basedOn: version, put: { '95-parted.yaml': 'limits:\n  queueWait: 700\n' }, remove: [], by: 'north' })
  fleet.setPartitioned(false)
  await fleet.waitForMembers()
  await fleet.waitUntil(async () => {
    const known = await Promise.all(fleet.daemons.map(async daemon => (await fleet.operator('GET', daemon, '/operator/configuration')).version))
    return known.every(other => other === changed.version)
  })
})

// The harness identifies the ends of a connection by its first frame. If it didn't recognize a hello, it would partition
// nothing.
test('the harness reads the opener of a connection from its first frame', t => {
  t.is(readHello(new Session({ self: 'entry-1', secret: 's', nonce: new Uint8Array(16), to: 'entry-2' }).open()), 'entry-1')
  t.is(readHello(Buffer.from('GET / HTTP/1.1\r\n\r\n')), undefined)
})
