import { failUnreachable } from '../kernel/unreachable.js'
import type { KeyedClaim } from './keyed-claim.js'

/** Lifetime of an idempotency key, ms. */
const KEY_LIFETIME = 86_400_000
/** Allowance for clock skew between two daemons, ms. */
const CLOCK_SLACK = 10_000

/** What to do about an existing claim. */
type ClaimDecision = 'replay' | 'mismatch' | 'unknown' | 'end as unknown' | 'wait' | 'take'

/**
 * Decides what to do about an existing claim.
 *
 * A holder that ends between its claim and the answer leaves the claim open, and no daemon can tell whether the request ran. To prevent a second
 * run an open claim is never taken over: it ends as unknown once its holder has ended or the deadline has passed. It is taken again only by the
 * process that holds it and has sent nothing (the reply to its write was lost), or once the key has expired.
 */
export function planClaim (claim: KeyedClaim, { now, fingerprint, holderGone, ownUnsent }: {
  readonly now: number
  readonly fingerprint: string
  /** Whether the holder's process has ended. */
  readonly holderGone: boolean
  /** Whether this process holds the claim and has sent nothing. */
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
