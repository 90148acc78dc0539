import 'reflect-metadata'
import test from 'ava'
import { WatchFleet } from '../helpers/watch-fleet.js'

// Guards against daemons that know no server for a second or two after a short outage: the entries of servers that are well lapse while
// the store is away, and a daemon that leaves watching to others hasn't noticed that it was.
for (const outage of [2_000, 4_000, 8_000]) {
  test(`servers whose entries lapsed in an outage of ${outage} ms are used until they are back`, async t => {
    const fleet = new WatchFleet(21)
    const names = fleet.members.map(({ instance: { name } }) => name)
    const listWithout = (): readonly string[] => names.filter(name => !fleet.listServers(name).includes('s1'))
    await fleet.putConfiguration(1)
    await fleet.putServer('s1')
    await fleet.putServer('s2')
    await fleet.start()
    for (const name of names) fleet.away.add(name)
    await fleet.clock.advance(outage)
    await fleet.deleteServer('s1')
    await fleet.deleteServer('s2')
    fleet.away.clear()
    await fleet.clock.advance(1_500)
    const without = listWithout()
    await fleet.putServer('s1')
    await fleet.clock.advance(2_000)
    const servers = names.map(name => fleet.listServers(name).join())
    t.deepEqual({ without, servers: [...new Set(servers)] }, { without: [], servers: ['s1'] })
  })
}

// Guards against requests to a server that has left, for 2 s: a watcher that the store alone turned away until a moment ago can't tell
// whether the server is gone, and its word comes before that of watchers which can.
test('a server that has left is dropped at once by the word of a watcher for which the store was there', async t => {
  const fleet = new WatchFleet(21)
  await fleet.putServer('s1')
  await fleet.putServer('s2')
  await fleet.start()
  const first = fleet.listWatchers('a')[0]!
  fleet.away.add(first)
  await fleet.clock.advance(1_000)
  fleet.away.clear()
  await fleet.clock.advance(500)
  for (const { instance: { name } } of fleet.members) if (name !== first) fleet.lags.set(name, 20)
  await fleet.deleteServer('s1')
  await fleet.clock.advance(200)
  t.deepEqual([...new Set(fleet.members.map(({ instance: { name } }) => fleet.listServers(name).join()))], ['s2'])
})
