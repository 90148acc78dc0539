import type { WorkEntry } from '../../src/batch/work-entry.js'

/** A job of the simulation. Times in ms. */
export interface DueJob extends WorkEntry {
  /** Whether it is due soon and counts for the on-time share; other jobs are backlog. */
  readonly urgent: boolean
}
