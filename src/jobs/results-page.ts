import type { ItemResult } from './item-result.js'

/** Results of a job from one position on. */
export interface ResultsPage {
  /** Items of the job. */
  readonly total: number
  readonly results: readonly ItemResult[]
  /** The position behind the last of them. */
  readonly next: number
}
