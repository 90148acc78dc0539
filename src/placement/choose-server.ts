import { rankOwners } from '../coordination/rank-owners.js'
import type { Random } from '../kernel/random.js'
import type { CandidateServer } from './candidate-server.js'

interface ChooseOptions {
  readonly random: Random
  /** Requests with the same key share the beginning of their prompts. */
  readonly key?: string
  /** Servers to use only where no other one has a place. */
  readonly avoided?: readonly string[]
}

/** Slots that must be free at the server of a key for it to go before the emptiest one. */
const MIN_FREE_FOR_KEY = 3

/**
 * Where an online request goes: a server with a free slot, or one where a batch item gives way; undefined where online
 * requests have every slot, and the request waits here rather than in an engine's queue, which knows no order.
 *
 * With free slots, the server that rendezvous hashing gives for the key is taken while it has room, because it holds the
 * beginning of the prompt; otherwise the one with most free slots, at random among equals, so that daemons whose counts
 * are a few ms old don't all choose the same. With none free, a server where this daemon runs batch itself is best: its
 * item is stopped in the same turn, another daemon's only once the news has come there.
 */
export function chooseServer (candidates: readonly CandidateServer[], { random, key, avoided = [] }: ChooseOptions): CandidateServer | undefined {
  const withOnlineRoom = candidates.filter(({ slots, online }) => online < slots)
  const preferred = withOnlineRoom.filter(({ server }) => !avoided.includes(server))
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
