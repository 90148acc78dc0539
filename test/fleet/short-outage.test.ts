import 'reflect-metadata'
import test from 'ava'
import { WatchFleet } from '../helpers/watch-fleet.js'

// Guards against daemons that drop healthy servers whose entries expired in a short outage of the store.
for (const outage of [2_000, 4_000, 8_000]) {
  test(`servers whose entries expired in an outage of ${outage} ms are used until they register again`, async t => {
    const fleet = new WatchFleet(21)
    const names = fleet.members.map(({ instance: { name } }) => name)
    const listWithout = (): readonly string[] => names.filter(name => !fleet.listServers(name).includes('s1'))
    await fleet.putConfiguration(1)
    await fleet.putServer('s1')
    await fleet.putServer('s2')
    await fleet.start()
    for (const name of names) fleet.rejected.add(name)
    await fleet.clock.advance(outage)
    await fleet.deleteServer('s1')
    await fleet.deleteServer('s2')
    fleet.rejected.clear()
    await fleet.clock.advance(1_500)
    const without = listWithout()
    await fleet.putServer('s1')
    await fleet.clock.advance(2_000)
    const servers = names.map(name => fleet.listServers(name).join())
    t.deepEqual({ without, servers: [...new Set(servers)] }, { without: [], servers: ['s1'] })
  })
}

// Guards against requests to a server that has left but is held because one watcher can't be sure of its removal.
test('a server that has left is dropped at once if one watcher is sure of its removal', async t => {
  const fleet = new WatchFleet(21)
  await fleet.putServer('s1')
  await fleet.putServer('s2')
  await fleet.start()
  const first = fleet.listWatchers('a')[0]!
  fleet.rejected.add(first)
  await fleet.clock.advance(1_000)
  fleet.rejected.clear()
  await fleet.clock.advance(500)
  for (const { instance: { name } } of fleet.members) if (name !== first) fleet.lags.set(name, 20)
  await fleet.deleteServer('s1')
  await fleet.clock.advance(200)
  t.deepEqual([...new Set(fleet.members.map(({ instance: { name } }) => fleet.listServers(name).join()))], ['s2'])
})
