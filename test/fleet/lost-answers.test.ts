import 'reflect-metadata'
import test from 'ava'
import { WatchFleet } from '../helpers/watch-fleet.js'

/** The users' bound from the store's acknowledgement of a change until it takes effect, ms. */
const BOUND = 2_000

// Guards against responses between daemons without the store that count as its answers.
test('daemons that reach only each other watch the store themselves', async t => {
  const fleet = new WatchFleet(9)
  await fleet.putConfiguration(1)
  await fleet.start()
  const isolated = ['a', 'b', 'c'].flatMap(domain => fleet.listFollowers(domain))
  fleet.isLost = ({ from, to }) => isolated.includes(from) !== isolated.includes(to)
  for (const name of isolated) fleet.rejected.add(name)
  await fleet.clock.advance(10_000)
  fleet.rejected.clear()
  await fleet.clock.advance(500)
  await fleet.putConfiguration(2)
  await fleet.clock.advance(BOUND)
  t.deepEqual(isolated.map(name => fleet.readVersion(name)), [2, 2, 2])
})

// Guards against a server that has left but is held as if the store were still unavailable.
test('a daemon that the store once rejected drops a server that has left in time', async t => {
  const fleet = new WatchFleet(21)
  await fleet.putServer('s1')
  await fleet.putServer('s2')
  await fleet.start()
  const watchers = fleet.listWatchers('a')
  const follower = fleet.listFollowers('a')[0]!
  fleet.isLost = ({ from, to }) => watchers.includes(from) && to === follower
  fleet.rejected.add(follower)
  await fleet.clock.advance(3_000)
  fleet.isLost = () => false
  await fleet.clock.advance(1_000)
  fleet.rejected.clear()
  await fleet.clock.advance(20_000)
  const asked = fleet.sent.length
  await fleet.clock.advance(2_000)
  t.deepEqual(fleet.sent.slice(asked).filter(({ from, message }) => from === follower && message.type === 'fleet ask'), [])
  let lost = 0
  fleet.isLost = ({ to, message: { type } }) => to === follower && type === 'fleet news' && ++lost <= watchers.length
  await fleet.deleteServer('s1')
  await fleet.clock.advance(BOUND)
  t.deepEqual(fleet.listServers(follower), ['s2'])
})
