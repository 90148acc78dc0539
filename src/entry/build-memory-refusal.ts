import type { Refusal } from '../admission/refusal.js'
import type { Random } from '../kernel/random.js'

/** Mean retry delay of a request that is refused for want of memory, ms. */
const MEMORY_RETRY = 1_000

/** Returns the refusal of a request whose bytes, or those of its answer, there is no memory for. */
export function buildMemoryRefusal (random: Pick<Random, 'spread'>): Refusal {
  return { cause: 'overloaded', ran: 'not run', retryAfter: random.spread(MEMORY_RETRY, 0.5), detail: 'too many bytes wait to be read or answered' }
}
