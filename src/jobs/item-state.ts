import type { JobItem } from './job-item.js'

/** An item of a job that this daemon owns, as it goes on. Times in monotonic ms. */
export interface ItemState {
  readonly item: JobItem
  /** Id of the last event that came, from which any server goes on. */
  last: number | undefined
  readonly texts: string[]
  /** Runs that their server answered with an error of its own. */
  failures: number
  /** Runs in a row that came to nothing. */
  losses: number
  notBefore: number
  phase: 'waiting' | 'running' | 'ended'
}
