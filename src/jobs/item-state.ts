import type { JobItem } from './job-item.js'

/** The current state of an item of a job that this daemon owns. Times in monotonic ms. */
export interface ItemState {
  /** Its body is empty once the job has ended. */
  item: JobItem
  /** Id of the last event received; any server can resume after it. */
  last: number | undefined
  readonly texts: string[]
  /** Version of the software of the server that sent the first event; the item goes on at no other. */
  version?: string
  /** When its last event was received here, or that of another daemon was first found here. */
  progressAt?: number
  /** Last event of a run whose end nothing but its connection marked; another run that ends there confirms it. */
  unmarkedEnd?: number
  /** Servers that answered this daemon without a stream. */
  answeredBy?: Set<string>
  /** Runs that the server answered with its own error. */
  failures: number
  /** Consecutive unsuccessful runs without a new event. */
  losses: number
  notBefore: number
  phase: 'waiting' | 'running' | 'ended'
}
