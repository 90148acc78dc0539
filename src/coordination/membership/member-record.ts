/**
 * One member as seen by another.
 * - `alive`, `suspect` (didn't answer; may refute), `dead` (kept to recognise older records of it).
 * - `leaving` is announced by the member itself: it still serves and answers, but accepts nothing new.
 */
export interface MemberRecord {
  readonly name: string
  /** Grows with each run of the member, and whenever it refutes or changes its record. 0: known only from a list. */
  readonly incarnation: number
  readonly status: 'alive' | 'suspect' | 'dead'
  readonly leaving: boolean
  /** Data that the member publishes about itself: addresses, failure domain. */
  readonly data: Readonly<Record<string, string | number>>
  /** Monotonic ms since when this state has been seen here; not sent. */
  readonly since: number
}
