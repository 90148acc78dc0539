import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { chooseServer } from '../../src/placement/choose-server.js'
import type { CandidateServer } from '../../src/placement/candidate-server.js'

function createPlace (server: string, online: number, batch = 0, ownBatch = 0): CandidateServer {
  return { server, failureDomain: 'a', slots: 8, online, batch, ownBatch }
}

interface Case { readonly name: string, readonly places: readonly CandidateServer[], readonly avoided?: readonly string[], readonly chosen: string | undefined }

const cases: readonly Case[] = [
  { name: 'the one with most free slots', places: [createPlace('s1', 5), createPlace('s2', 2), createPlace('s3', 4)], chosen: 's2' },
  { name: 'batch takes slots as well', places: [createPlace('s1', 3, 5), createPlace('s2', 6)], chosen: 's2' },
  { name: 'none free: where an item of this daemon gives way at once', places: [createPlace('s1', 2, 6), createPlace('s2', 5, 3, 1)], chosen: 's2' },
  { name: 'none free and no item of ours: where most batch runs', places: [createPlace('s1', 2, 6), createPlace('s2', 5, 3)], chosen: 's1' },
  { name: 'online requests have every slot: it waits here', places: [createPlace('s1', 8), createPlace('s2', 9)], chosen: undefined },
  { name: 'a server that failed it is left alone', places: [createPlace('s1', 0), createPlace('s2', 7)], avoided: ['s1'], chosen: 's2' },
  { name: 'unless no other has a place', places: [createPlace('s1', 0), createPlace('s2', 8)], avoided: ['s1'], chosen: 's1' },
  { name: 'no server', places: [], chosen: undefined }
]

for (const { name, places, avoided, chosen } of cases) {
  test(name, t => { t.is(chooseServer(places, { random: new Random(1), avoided })?.server, chosen) })
}

test('requests with one key go to one server while it has room, and elsewhere when it fills', t => {
  const places = ['s1', 's2', 's3', 's4'].map(server => createPlace(server, 0))
  const first = chooseServer(places, { random: new Random(1), key: 'prompt' })!.server
  for (let seed = 2; seed < 20; seed++) t.is(chooseServer(places, { random: new Random(seed), key: 'prompt' })!.server, first)
  const filled = places.map(place => place.server === first ? { ...place, online: 6 } : place)
  t.not(chooseServer(filled, { random: new Random(1), key: 'prompt' })!.server, first)
})

// Six daemons see the same counts, some ms old, and each gets a request at once. Were the choice the same at each, all six
// would go to one server and wait there, while others have free slots.
test('daemons with the same counts choose different servers', t => {
  const places = ['s1', 's2', 's3', 's4', 's5', 's6', 's7', 's8'].map(server => createPlace(server, 3))
  const chosen = new Set(Array.from({ length: 24 }, (_, seed) => chooseServer(places, { random: new Random(seed) })!.server))
  t.true(chosen.size >= 6)
})
