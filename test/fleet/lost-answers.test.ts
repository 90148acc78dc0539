import 'reflect-metadata'
import test from 'ava'
import { WatchFleet } from '../helpers/watch-fleet.js'

/** The users' bound from the store's acknowledgement to a configuration or a server's leaving in force, ms. */
const BOUND = 2_000

// Guards against daemons that keep one another from looking: cut off from their watchers while the store turns them away, they ask
// each other, and an answer by one that knows no more must not count as word of the store when that serves them again.
test('daemons that hear only each other watch for themselves', async t => {
  const fleet = new WatchFleet(9)
  await fleet.putConfiguration(1)
  await fleet.start()
  const parted = ['a', 'b', 'c'].flatMap(domain => fleet.listFollowers(domain))
  fleet.isLost = ({ from, to }) => parted.includes(from) !== parted.includes(to)
  for (const name of parted) fleet.away.add(name)
  await fleet.clock.advance(10_000)
  fleet.away.clear()
  await fleet.clock.advance(500)
  await fleet.putConfiguration(2)
  await fleet.clock.advance(BOUND)
  t.deepEqual(parted.map(name => fleet.readVersion(name)), [2, 2, 2])
})
