import type { CandidateServer } from './candidate-server.js'

interface IdleServer { readonly server: string, readonly idle: number }

/** Slots of a server group that batch may take now, and the servers that have them. */
interface BatchPlan {
  readonly start: number
  readonly servers: readonly IdleServer[]
}

/**
 * Slots, as a share of a group's servers, that batch leaves free when it starts, so that most online arrivals need not preempt an
 * item: preemption costs the arrival a message and an engine step, and the item must process its prompt again. Arrivals go to
 * any server of the group, so its slots are shared by all; one at each server would be many more than arrive at once.
 */
const HEADROOM_SHARE = 0.25
/** Greatest share of a group's slots that is left free, so that batch also runs in a group of one server with a single slot. */
const MAX_HEADROOM_OF_SLOTS = 0.5

/**
 * Plans batch in a group of servers: it fills the idle slots except for the headroom, and for `reserved` more, one for each waiting
 * online request that may yet use one of them.
 */
export function planBatch (candidates: ReadonlyArray<Pick<CandidateServer, 'server' | 'slots' | 'online' | 'batch'>>, reserved = 0): BatchPlan {
  const servers = candidates.map(({ server, slots, online, batch }) => ({ server, idle: slots - online - batch })).filter(({ idle }) => idle > 0)
  const idle = servers.reduce((sum, server) => sum + server.idle, 0)
  const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0)
  const headroom = Math.min(Math.ceil(candidates.length * HEADROOM_SHARE), Math.floor(slots * MAX_HEADROOM_OF_SLOTS))
  return { start: Math.max(0, idle - headroom - reserved), servers }
}
