import 'reflect-metadata'
import test from 'ava'
import { WatchFleet } from '../helpers/watch-fleet.js'

/** The users' bound from the store's acknowledgement to a configuration or a server's leaving in force, ms. */
const BOUND = 2_000
/** Beyond the time of one watch, so that empty news follow what was lost. */
const LATER = 8_000

interface Setup { readonly fleet: WatchFleet, readonly watchers: readonly string[], readonly follower: string }

async function createFleet (): Promise<Setup> {
  const fleet = new WatchFleet(21)
  await fleet.putConfiguration(1)
  await fleet.putServer('s1')
  await fleet.putServer('s2')
  await fleet.start()
  return { fleet, watchers: fleet.listWatchers('a'), follower: fleet.listFollowers('a')[0]! }
}

/** The store answers `first` before all others, which have the change from it when their own answers come. */
function setFirst (fleet: WatchFleet, first: string): void {
  for (const { instance: { name } } of fleet.members) if (name !== first) fleet.lags.set(name, 20)
}

// Guards against a daemon that goes by an old configuration for good: the one message that told of the new one was lost with its
// link, and the news after it, which tell of no change, made the daemon believe itself up to date.
test('a daemon that loses the message of a configuration has it in time', async t => {
  const { fleet, watchers: [first], follower } = await createFleet()
  setFirst(fleet, first!)
  let lost = 0
  fleet.isLost = ({ from, to, message: { type, kind } }) => from === first && to === follower && type === 'fleet news' && kind === 'configuration' && ++lost === 1
  await fleet.putConfiguration(2)
  await fleet.clock.advance(BOUND)
  const inTime = fleet.readVersion(follower)
  await fleet.clock.advance(LATER)
  t.deepEqual({ lost: Math.min(lost, 1), inTime, later: fleet.readVersion(follower) }, { lost: 1, inTime: 2, later: 2 })
})

// Guards against requests that go on to a server which has left, for good, as the one message that told of its leaving was lost.
test('a daemon that loses the message of a server that has left drops it in time', async t => {
  const { fleet, watchers: [first], follower } = await createFleet()
  setFirst(fleet, first!)
  let lost = 0
  fleet.isLost = ({ from, to, message: { type, kind } }) => from === first && to === follower && type === 'fleet news' && kind === 'instances' && ++lost === 1
  t.deepEqual(fleet.listServers(follower), ['s1', 's2'])
  await fleet.deleteServer('s1')
  await fleet.clock.advance(BOUND)
  const inTime = fleet.listServers(follower)
  await fleet.clock.advance(LATER)
  t.deepEqual({ lost: Math.min(lost, 1), inTime, later: fleet.listServers(follower) }, { lost: 1, inTime: ['s2'], later: ['s2'] })
})

// Guards against the same where both watchers' links to the daemon are down while they tell of a change, as after a pause.
test('a daemon that loses both watchers\' messages of a change has it in time', async t => {
  const { fleet, watchers, follower } = await createFleet()
  fleet.isLost = ({ from, to }) => watchers.includes(from) && to === follower
  await fleet.putConfiguration(2)
  await fleet.deleteServer('s1')
  await fleet.clock.advance(300)
  fleet.isLost = () => false
  await fleet.clock.advance(BOUND - 300)
  const inTime = { version: fleet.readVersion(follower), servers: fleet.listServers(follower) }
  await fleet.clock.advance(LATER)
  t.deepEqual({ inTime, later: { version: fleet.readVersion(follower), servers: fleet.listServers(follower) } },
    { inTime: { version: 2, servers: ['s2'] }, later: { version: 2, servers: ['s2'] } })
})

// Guards against a daemon that hears its watchers no more, though it reaches the store, and goes by what it knows for 6 s.
test('a daemon that hears no watcher any more has a change in time', async t => {
  const { fleet, watchers, follower } = await createFleet()
  fleet.isLost = ({ from, to }) => watchers.includes(from) && to === follower
  await fleet.putConfiguration(2)
  await fleet.deleteServer('s1')
  await fleet.clock.advance(BOUND)
  t.deepEqual({ version: fleet.readVersion(follower), servers: fleet.listServers(follower) }, { version: 2, servers: ['s2'] })
})
