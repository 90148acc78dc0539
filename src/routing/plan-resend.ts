import type { SendFailure } from './send-failure.js'

/** Sends that ended without a run, after which a request is given up: every other server was as full. */
const MAX_SENDS = 6

interface ResendState {
  readonly idempotent: boolean
  readonly resumable: boolean
  /** Whether part of a stream has been relayed. */
  readonly begun: boolean
  /** Sends that may have run, the failed one among them. */
  readonly runs: number
  /** Servers that may run it. */
  readonly attempts: number
  readonly sends: number
  /** Whether its caller has left or its deadline has passed. */
  readonly gone: boolean
}

/**
 * What follows a failed send of a routed request. One that provably did not run may go to any other server; one that may
 * have run only where its route lets it run again, on no more servers than it allows; a stream that has begun only where
 * it can go on behind its last event.
 */
export function planResend (failure: SendFailure, { idempotent, resumable, begun, runs, attempts, sends, gone }: ResendState): 'send' | 'give up' {
  if (gone || sends >= MAX_SENDS) return 'give up'
  if (begun && !resumable) return 'give up'
  if (!failure.sent && runs === 0) return 'send'
  return idempotent && runs < attempts ? 'send' : 'give up'
}
