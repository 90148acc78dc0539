import type { JobTerms } from './job-terms.js'
import type { WeightedService } from './weighted-service.js'

/** Which requests go to which services, by host and path, and how they may be treated. Times in ms. */
export interface Route {
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly services: readonly WeightedService[]
  /** Whether its answers are streams of events. */
  readonly streamed: boolean
  /** Whether a request may run more than once. */
  readonly idempotent: boolean
  /** Whether a stream may go on at another server after the last event that was relayed. */
  readonly resumable: boolean
  /** Servers that may run one request. */
  readonly attempts: number
  /** Longest time that a caller is kept waiting for a whole answer; 0 for no limit of its own. */
  readonly timeout: number
  /** Target for the answer, or for the first event of a stream. */
  readonly target: number
  /** How long callers of a stream wait without an event before they leave; they wait for as long as they say where it is left out. */
  readonly silence?: number
  /** 0 is the highest. */
  readonly priority: number
  /** Terms of the jobs it takes; absent where it takes single requests. */
  readonly jobs?: JobTerms
}
