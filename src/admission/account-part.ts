import type { AccountRows } from './account-rows.js'

/**
 * What one daemon counted in one run, or in one stretch of it, as it lies in the platform. Only that daemon writes it,
 * so that it is counted once. Wall-clock times in ms.
 */
export interface AccountPart {
  readonly instance: string
  /** Start of the run. */
  readonly started: number
  readonly flushedAt: number
  /** Nothing will be added to it: the run has ended gracefully or goes on in another part. */
  readonly closed: boolean
  /** Most online requests a second that were asked between two flushes. */
  readonly highestRate: number
  /** Longest time between two flushes, ms: what the platform's outages have cost. */
  readonly longestGap: number
  readonly rows: AccountRows
}
