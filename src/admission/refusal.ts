/**
 * The final answer to a request that is not served. `ran` is `not run` only if no byte of it was sent to a server; otherwise
 * its outcome is `unknown`. `invalid request` means that it can't be sent as it came, to no server. `retryAfter` is the time after which to retry, ms.
 */
export interface Refusal {
  readonly cause: 'overloaded' | 'no server' | 'deadline' | 'server failed' | 'quarantined' | 'draining' | 'platform' | 'over quota' | 'invalid request'
  readonly ran: 'not run' | 'unknown'
  readonly retryAfter: number
  readonly detail: string
  /** The part of its prompt for which it is refused. */
  readonly part?: string
}
