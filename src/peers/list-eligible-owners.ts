import type { MemberRecord } from '../coordination/membership/member-record.js'

/** Time for which a member known only from a list is eligible, ms. A running daemon usually makes contact sooner. */
const LISTED_GRACE = 1_000

interface OwnerOptions {
  readonly self: string
  /** Monotonic ms. */
  readonly now: number
  /** Only members of this region, if set. */
  readonly region?: string
}

/**
 * Lists the names of the members that may own jobs and servers: alive or suspect, and not leaving. A member known only from a
 * list is eligible for a short time. Detecting that it is gone takes more than five seconds; after a restart of all daemons,
 * the jobs and slots that rank to a removed member would have no owner for that time.
 */
export function listEligibleOwners (records: Iterable<MemberRecord>, { self, now, region }: OwnerOptions): readonly string[] {
  return [...records]
    .filter(({ status, leaving }) => status !== 'dead' && !leaving)
    .filter(({ name, incarnation, since }) => name === self || incarnation > 0 || now < since + LISTED_GRACE)
    .filter(({ data }) => region === undefined || data.region === region)
    .map(({ name }) => name)
}
