import type { AccountRows } from './account-rows.js'

/** The account of the whole fleet, with what it may lack. */
export interface MergedAccount {
  readonly rows: AccountRows
  readonly mayMiss: {
    /** Online requests asked for that may lack, at most. */
    readonly asked: number
    /** Runs that may lack some: those that go on, and those that ended without their last flush. */
    readonly runs: readonly string[]
  }
  /** False where the platform couldn't be read: the rows are then of this daemon only. */
  readonly whole: boolean
}
