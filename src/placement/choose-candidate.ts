import { rankOwners } from '../coordination/rank-owners.js'
import type { Random } from '../kernel/random.js'
import type { CandidateServer } from './candidate-server.js'

interface ChooseOptions {
  readonly random: Random
  /** Requests with the same key share a prompt prefix. */
  readonly key?: string
  /** Servers to use only if no other server has a slot. */
  readonly avoided?: readonly string[]
  /** Whether the request may run at another server if this one fails it. */
  readonly repeatable?: boolean
}

/** Free slots that the preferred server of a key needs to be chosen over the least loaded one. */
const MIN_FREE_FOR_KEY = 3

/**
 * Chooses the server of an online request: one with a free slot, or one where a batch item can be preempted. Returns undefined
 * if online requests hold every slot; the request then waits in the daemon, because an engine's queue has no priorities.
 *
 * Among servers with free slots, the one that rendezvous hashing assigns to the key is preferred while it has room, because
 * its cache holds the prompt prefix. Otherwise the server with most free slots is chosen, at random among equals, so that daemons
 * whose counts are a few ms old don't all pick the same one. With no free slot, a server that runs this daemon's own batch is
 * preferred: a local item is stopped at once, an item of another daemon only after a message to it.
 *
 * An ejected server that is being probed comes first: with one slot, it would otherwise be chosen only when all others are busy.
 */
export function chooseCandidate (candidates: readonly CandidateServer[], { random, key, avoided = [], repeatable = false }: ChooseOptions): CandidateServer | undefined {
  const withOnlineRoom = candidates.filter(({ slots, online, probe }) => online < slots && (probe !== 'repeatable' || repeatable))
  const preferred = withOnlineRoom.filter(({ server }) => !avoided.includes(server))
  const probed = preferred.find(candidate => candidate.probe !== undefined && getFree(candidate) > 0)
  if (probed !== undefined) return probed
  const open = preferred.length > 0 ? preferred : withOnlineRoom
  const idle = open.filter(candidate => getFree(candidate) > 0)
  if (idle.length > 0) return findCacheHolder(idle, key) ?? chooseMost(idle, getFree, random)
  const own = open.filter(({ ownBatch }) => ownBatch > 0)
  return chooseMost(own.length > 0 ? own : open, ({ slots, online }) => slots - online, random)
}

function getFree ({ slots, online, batch }: CandidateServer): number {
  return slots - online - batch
}

function findCacheHolder (idle: readonly CandidateServer[], key: string | undefined): CandidateServer | undefined {
  if (key === undefined) return undefined
  const [first] = rankOwners(key, idle.map(({ server }) => server))
  const holder = idle.find(({ server }) => server === first)
  return holder !== undefined && getFree(holder) >= MIN_FREE_FOR_KEY ? holder : undefined
}

function chooseMost (candidates: readonly CandidateServer[], measure: (candidate: CandidateServer) => number, random: Random): CandidateServer | undefined {
  const most = Math.max(...candidates.map(measure))
  const best = candidates.filter(candidate => measure(candidate) === most)
  return best[random.below(best.length)]
}
