import type { CandidateServer } from './candidate-server.js'

/** What is done with batch on one server. */
interface BatchPlan {
  /** Items to stop. */
  readonly stop: number
  /** Items that may start. */
  readonly start: number
}

/**
 * Slots that batch leaves free when it starts, so that most online arrivals find one without stopping an item: an
 * arrival that must stop one waits for the news and a step, and the item reads its prompt again.
 */
const HEADROOM = 1

/** How batch gives way and fills: where requests are more than slots, as many items are stopped as there are too many. */
export function planBatch ({ slots, online, batch }: Pick<CandidateServer, 'slots' | 'online' | 'batch'>): BatchPlan {
  const excess = online + batch - slots
  const stop = Math.max(0, Math.min(batch, excess))
  return { stop, start: stop > 0 ? 0 : Math.max(0, -excess - HEADROOM) }
}
