import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/** The account of the whole fleet, with what it may lack. */
export interface MergedAccount {
  readonly rows: AccountRows
  readonly times: AccountTimes
  readonly mayMiss: {
    /** Online requests asked for that may lack, at most. */
    readonly asked: number
    /** Parts of runs that may lack some: those that go on and didn't answer, and those that ended without their last flush. */
    readonly runs: readonly string[]
  }
  /** False where the platform couldn't be read: the figures are then of the daemons that answered, since they last flushed. */
  readonly whole: boolean
}
