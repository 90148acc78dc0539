import type { MemberRecord } from '../coordination/member-record.js'

/** How long a member counts that is known from a list and wasn't heard, ms: those that live are heard within some ten. */
const LISTED_GRACE = 1_000

interface OwnerOptions {
  readonly self: string
  /** Monotonic ms. */
  readonly now: number
  /** Only members of this region, where it is given. */
  readonly region?: string
}

/**
 * Names of the members that may own things: alive or suspect, and not leaving. One that a list names and nobody has heard counts for a
 * moment only. Silence takes more than five seconds to show that it is gone, and where all daemons have started anew what
 * falls by rank to one that was removed long ago rests for that time: jobs that nobody runs, slots that nobody gives.
 */
export function listEligibleOwners (records: Iterable<MemberRecord>, { self, now, region }: OwnerOptions): readonly string[] {
  return [...records]
    .filter(({ status, leaving }) => status !== 'dead' && !leaving)
    .filter(({ name, incarnation, since }) => name === self || incarnation > 0 || now < since + LISTED_GRACE)
    .filter(({ data }) => region === undefined || data.region === region)
    .map(({ name }) => name)
}
