/**
 * One member as another sees it.
 * - `alive`, `suspect` (didn't answer; may refute), `dead` (kept so that older news of it is recognised).
 * - `leaving` is announced by the member itself: it still serves and answers, but takes nothing new.
 */
export interface MemberRecord {
  readonly name: string
  /** Grows with each run of the member, and whenever it refutes or has news of itself. 0: known from a list only. */
  readonly incarnation: number
  readonly status: 'alive' | 'suspect' | 'dead'
  readonly leaving: boolean
  /** What the member says of itself: addresses, failure domain. */
  readonly data: Readonly<Record<string, string | number>>
  /** Monotonic ms since which this state has been seen here; it isn't sent. */
  readonly since: number
}
