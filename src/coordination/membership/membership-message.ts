/** A record as it is sent: name, incarnation, status, leaving and, if it is alive, its data. */
type SentRecord = readonly [name: string, incarnation: number, status: 'alive' | 'suspect' | 'dead', leaving: boolean, data?: Readonly<Record<string, string | number>>]

/**
 * A message between members. `n` numbers a probe, `i` is the sender's incarnation, `h` is a hash of its view, and `u`
 * are records that it passes on.
 */
export type MembershipMessage =
  | { readonly type: 'ping', readonly n: number, readonly i: number, readonly h: number, readonly u: readonly SentRecord[] }
  | { readonly type: 'ack', readonly n: number, readonly i: number, readonly h: number, readonly u: readonly SentRecord[] }
  /** Asks the receiver to probe `of` and to forward its answer. */
  | { readonly type: 'ask', readonly n: number, readonly i: number, readonly h: number, readonly of: string, readonly u: readonly SentRecord[] }
  /** Asks the receiver for its own record, which comes in an `ack`. */
  | { readonly type: 'who', readonly u: readonly SentRecord[] }
  /** All records of the sender; `want` requests those of the receiver in return. */
  | { readonly type: 'state', readonly want: boolean, readonly u: readonly SentRecord[] }
