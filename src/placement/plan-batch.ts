import type { CandidateServer } from './candidate-server.js'

/** Batch items to stop and to start on one server. */
interface BatchPlan {
  readonly stop: number
  readonly start: number
}

/**
 * Slots that batch leaves free when it starts, so that most online arrivals need not preempt an item: preemption costs the arrival a
 * message and an engine step, and the item must process its prompt again.
 */
const HEADROOM = 1

/** Plans batch on one server: fills idle slots except for the headroom, and stops as many items as requests exceed slots. */
export function planBatch ({ slots, online, batch }: Pick<CandidateServer, 'slots' | 'online' | 'batch'>): BatchPlan {
  const excess = online + batch - slots
  const stop = Math.max(0, Math.min(batch, excess))
  return { stop, start: stop > 0 ? 0 : Math.max(0, -excess - HEADROOM) }
}
