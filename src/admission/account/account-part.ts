import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/**
 * The counts of one run of a daemon, or of a section of that run, as stored in the platform. Only that daemon adds counts to
 * it, so that each is stored once. Wall-clock times in ms.
 */
export interface AccountPart {
  readonly instance: string
  /** Start of the run. */
  readonly started: number
  /** The UTC day of all its counts, to within a second, as YYYY-MM-DD. */
  readonly day: string
  readonly flushedAt: number
  /** Increases with each sample of the counts: of two states of a part, the one with the higher number includes the other. */
  readonly sample: number
  /** No counts will be added: the run has ended or continues in another part, or other daemons considered it dead. */
  readonly closed: boolean
  /** Set if other daemons have closed it: online requests that it may lack, at most. */
  readonly mayMiss?: number
  /** The next flush is due after `period` ms or `lead` online requests. */
  readonly period: number
  readonly lead: number
  /** Highest rate of online requests between two flushes, per second. */
  readonly highestRate: number
  /** Longest time between two flushes, ms. Outages of the platform increase it. */
  readonly longestGap: number
  readonly rows: AccountRows
  readonly times: AccountTimes
}
