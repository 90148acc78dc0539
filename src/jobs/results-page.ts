import type { ListedResult } from './listed-result.js'

/** A page of a job's results. */
export interface ResultsPage {
  /** Number of items of the job. */
  readonly total: number
  readonly results: readonly ListedResult[]
  /** The position after the last result of this page. */
  readonly next: number
}
