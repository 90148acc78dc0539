import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import type { CandidateServer } from '../../src/placement/candidate-server.js'
import { chooseCandidate } from '../../src/placement/choose-candidate.js'

function createCandidate (server: string, online: number, batch = 0, ownBatch = 0): CandidateServer {
  return { server, failureDomain: 'a', version: '', slots: 8, online, batch, ownBatch }
}

interface Case { readonly name: string, readonly candidates: readonly CandidateServer[], readonly avoided?: readonly string[], readonly chosen: string | undefined }

const cases: readonly Case[] = [
  { name: 'the server with most free slots', candidates: [createCandidate('s1', 5), createCandidate('s2', 2), createCandidate('s3', 4)], chosen: 's2' },
  { name: 'batch items count as used slots', candidates: [createCandidate('s1', 3, 5), createCandidate('s2', 6)], chosen: 's2' },
  { name: 'no free slot: a server where this daemon\'s own item can be preempted', candidates: [createCandidate('s1', 2, 6), createCandidate('s2', 5, 3, 1)], chosen: 's2' },
  { name: 'no free slot and no own item: the server with most batch', candidates: [createCandidate('s1', 2, 6), createCandidate('s2', 5, 3)], chosen: 's1' },
  { name: 'online requests hold every slot: none', candidates: [createCandidate('s1', 8), createCandidate('s2', 9)], chosen: undefined },
  { name: 'an avoided server is skipped', candidates: [createCandidate('s1', 0), createCandidate('s2', 7)], avoided: ['s1'], chosen: 's2' },
  { name: 'an avoided server is used if no other has a slot', candidates: [createCandidate('s1', 0), createCandidate('s2', 8)], avoided: ['s1'], chosen: 's1' },
  { name: 'no server', candidates: [], chosen: undefined }
]

for (const { name, candidates, avoided, chosen } of cases) {
  test(name, t => { t.is(chooseCandidate(candidates, { random: new Random(1), avoided })?.server, chosen) })
}

test('requests with the same key use one server while it has room', t => {
  const candidates = ['s1', 's2', 's3', 's4'].map(server => createCandidate(server, 0))
  const first = chooseCandidate(candidates, { random: new Random(1), key: 'prompt' })!.server
  for (let seed = 2; seed < 20; seed++) t.is(chooseCandidate(candidates, { random: new Random(seed), key: 'prompt' })!.server, first)
  const filled = candidates.map(candidate => candidate.server === first ? { ...candidate, online: 6 } : candidate)
  t.not(chooseCandidate(filled, { random: new Random(1), key: 'prompt' })!.server, first)
})

// Guards against daemons with the same outdated counts that all place their requests on one server.
test('daemons with the same counts choose different servers', t => {
  const candidates = ['s1', 's2', 's3', 's4', 's5', 's6', 's7', 's8'].map(server => createCandidate(server, 3))
  const chosen = new Set(Array.from({ length: 24 }, (_, seed) => chooseCandidate(candidates, { random: new Random(seed) })!.server))
  t.true(chosen.size >= 6)
})
