import type { SendFailure } from './exchanges/send-failure.js'

/** Sends after which a request that has no part of its answer is abandoned, even if no server ran it. */
const MAX_SENDS = 6

interface ResendState {
  readonly idempotent: boolean
  readonly resumable: boolean
  /** Whether part of a stream has been relayed. */
  readonly begun: boolean
  /** Failed sends that may have run, including the last one. */
  readonly runs: number
  /** Most runs that the route allows. */
  readonly attempts: number
  /** Sends so far. */
  readonly sends: number
  /** Whether the caller has left or the deadline has passed. */
  readonly abandoned: boolean
}

/**
 * Decides whether a routed request is sent again after a failure. A request that certainly hasn't run may go to any other
 * server. One that may have run is sent again only if its route is idempotent and allows another run. A stream that has
 * begun must also be resumable after its last event, and is then sent until a server takes it: nothing else completes it. One that can't be
 * sent as it is can't be sent to any server.
 */
export function planResend (failure: SendFailure, { idempotent, resumable, begun, runs, attempts, sends, abandoned }: ResendState): 'send' | 'give up' {
  if (abandoned || failure.why === 'invalid') return 'give up'
  if (begun ? !resumable : sends >= MAX_SENDS) return 'give up'
  if (!failure.sent && runs === 0) return 'send'
  return idempotent && runs < attempts ? 'send' : 'give up'
}
