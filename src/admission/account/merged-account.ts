import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/** The account of the whole fleet, with a bound on what it may lack. */
export interface MergedAccount {
  readonly rows: AccountRows
  readonly times: AccountTimes
  readonly mayMiss: {
    /** Online requests that may be missing, at most. */
    readonly asked: number
    /** Parts of runs that may lack requests: of running daemons that didn't answer, and of runs that ended without their last flush. */
    readonly runs: readonly string[]
  }
  /** False if the platform could not be read: the figures are then those of the answering daemon since its start. */
  readonly whole: boolean
}
