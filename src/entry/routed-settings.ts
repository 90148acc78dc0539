import type { Endpoint } from './endpoint.js'

/** The endpoints of a daemon that serves requests by host and path, and the limits that its platform sets. Times in ms. */
export interface RoutedSettings {
  /** For callers' requests. */
  readonly requests: Endpoint
  /** For the platform's readiness probe. */
  readonly readiness: Endpoint
  /** For callers' requests for entry addresses. */
  readonly addresses: Endpoint
  readonly metrics: Endpoint
  /** Cache time of an answer with addresses, as sent to callers. */
  readonly addressKeep: number
  /** Time from the termination signal until the process is killed. */
  readonly shutdownTime: number
  /** Calls per second that the store serves to all daemons together. */
  readonly storeRates: { readonly reads: number, readonly writes: number }
  /** Time from the submission of a job until its results may be removed. */
  readonly resultKeep: number
}
