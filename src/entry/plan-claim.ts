import { failUnreachable } from '../kernel/unreachable.js'
import type { KeyedClaim } from './keyed-claim.js'

/** How long a key is remembered, ms. */
const KEY_LIFETIME = 86_400_000
/** By how much the clocks of two daemons may differ, ms. */
const CLOCK_SLACK = 10_000

/** What to do about a claim that stands already. */
type ClaimDecision = 'replay' | 'mismatch' | 'unknown' | 'end as unknown' | 'wait' | 'take'

/**
 * Decides about a standing claim; never that somebody else than its holder sends the request.
 *
 * Safeguard: a holder that dies between its claim and the answer leaves it open, and nobody can tell whether the
 * request ran. Sent again, a booking would be made twice. So an open claim is never taken over: once its holder is
 * gone, or past the deadline, it ends as unknown. It is taken again only by the very process that holds it and knows
 * that it sent nothing (the write's reply was lost), or once the key has expired.
 */
export function planClaim (claim: KeyedClaim, { now, fingerprint, holderGone, ownUnsent }: {
  readonly now: number
  readonly fingerprint: string
  /** Whether the holder's process has ended. */
  readonly holderGone: boolean
  /** Whether this process holds it and has sent nothing. */
  readonly ownUnsent: boolean
}): ClaimDecision {
  if (now - claim.at >= KEY_LIFETIME) return 'take'
  if (claim.fingerprint !== fingerprint) return 'mismatch'
  switch (claim.outcome.type) {
    case 'answered': return 'replay'
    case 'unknown': return 'unknown'
    case 'open': {
      if (ownUnsent) return 'take'
      return holderGone || now >= claim.until + CLOCK_SLACK ? 'end as unknown' : 'wait'
    }
    default: return failUnreachable(claim.outcome)
  }
}
