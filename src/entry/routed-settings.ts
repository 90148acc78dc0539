import type { Endpoint } from './endpoint.js'

/** Where a daemon serves requests by host and path, and the bounds that its platform sets. Times in ms. */
export interface RoutedSettings {
  /** For callers' requests. */
  readonly requests: Endpoint
  /** For the platform's question whether this daemon is ready. */
  readonly readiness: Endpoint
  /** For callers' question which daemons to use. */
  readonly addresses: Endpoint
  readonly metrics: Endpoint
  /** How long callers are told to keep an answer of the addresses. */
  readonly addressKeep: number
  /** From the signal to end until the process is killed. */
  readonly shutdownTime: number
  /** Calls a second that the store serves to all daemons together. */
  readonly storeRates: { readonly reads: number, readonly writes: number }
  /** From the submission of a job until its results may be removed. */
  readonly resultKeep: number
}
