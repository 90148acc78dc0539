import type { WorkEntry } from '../../src/batch/work-entry.js'

/** A job of the model. Times in ms. */
export interface DueJob extends WorkEntry {
  /** Whether its on-time share is what is measured; the others are backlog. */
  readonly urgent: boolean
}
