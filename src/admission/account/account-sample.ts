import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/** All counts of a run at one moment. */
export interface AccountSample {
  readonly rows: AccountRows
  readonly times?: AccountTimes
  readonly askedOnline: number
  /** Wall-clock ms. */
  readonly date: number
}
