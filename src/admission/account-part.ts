import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/**
 * What one daemon counted in one run, or in one stretch of it, as it lies in the platform. Only that daemon writes it,
 * so that it is counted once. Wall-clock times in ms.
 */
export interface AccountPart {
  readonly instance: string
  /** Start of the run. */
  readonly started: number
  /** The UTC day in which all of it was counted, to a second, as YYYY-MM-DD. */
  readonly day: string
  readonly flushedAt: number
  /** Grows with each look at the run's counts: of two states of one part the one with the higher number holds all of the other. */
  readonly sample: number
  /** Nothing will be added to it: the run has ended gracefully or goes on in another part, or others took it for dead. */
  readonly closed: boolean
  /** Where others have closed it: online requests that it may lack, at most. */
  readonly mayMiss?: number
  /** When it is flushed next: after so many ms, or after so many online requests. */
  readonly period: number
  readonly lead: number
  /** Most online requests a second that were asked between two flushes. */
  readonly highestRate: number
  /** Longest time between two flushes, ms: what the platform's outages have cost. */
  readonly longestGap: number
  readonly rows: AccountRows
  readonly times: AccountTimes
}
