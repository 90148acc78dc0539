import type { Refusal } from '../../admission/refusal.js'
import type { Random } from '../../kernel/random.js'

/** Mean retry delay of a request that is refused because this process ends, ms: others can take it at once. */
const RETRY_ELSEWHERE = 100

/** Returns the refusal of a request that would not end before this process does. */
export function buildEndRefusal (random: Pick<Random, 'spread'>, ran: Refusal['ran']): Refusal {
  return { cause: 'draining', ran, retryAfter: random.spread(RETRY_ELSEWHERE, 0.5), detail: 'this daemon ends before the request could' }
}
