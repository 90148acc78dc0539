import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/** All that a run has counted at one moment. */
export interface AccountSample {
  readonly rows: AccountRows
  readonly times?: AccountTimes
  readonly askedOnline: number
  /** Wall-clock ms. */
  readonly date: number
}
