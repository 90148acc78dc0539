/**
 * The final answer to a request that is given up. `ran` is `not run` only where no byte of it was sent to a
 * server; otherwise its outcome is `unknown`. `retryAfter` tells in ms when to come back.
 */
export interface Refusal {
  readonly cause: 'overloaded' | 'no server' | 'deadline' | 'server failed' | 'quarantined' | 'draining' | 'platform'
  readonly ran: 'not run' | 'unknown'
  readonly retryAfter: number
  readonly detail: string
}
