import type { JobTerms } from './job-terms.js'
import type { WeightedService } from './weighted-service.js'

/** Routes requests to services by host and path, and states how they may be handled. Times in ms. */
export interface Route {
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly services: readonly WeightedService[]
  /** Whether its answers are streams of events. */
  readonly streamed: boolean
  /** Whether a request may run more than once. */
  readonly idempotent: boolean
  /** Whether a stream may continue at another server after the last relayed event. */
  readonly resumable: boolean
  /** Most servers that may run one request. */
  readonly attempts: number
  /** Longest time until the whole answer; 0 for no limit specific to the route. */
  readonly timeout: number
  /** Latency target for the answer, or for the first event of a stream. */
  readonly target: number
  /** How long callers of a stream wait without an event before they disconnect; if omitted, only their own deadline applies. */
  readonly silence?: number
  /** 0 is the highest. */
  readonly priority: number
  /** Whether its requests need no key. */
  readonly public?: boolean
  /** Terms of its jobs; absent for a route of single requests. */
  readonly jobs?: JobTerms
}
