import type { DueOrder } from './due-order.js'

/** Results of one order at one site, over all seeds. */
export interface DueReport {
  readonly site: string
  readonly faults: boolean
  readonly order: DueOrder
  readonly jobs: number
  readonly onTime: number
  /** For each seed, the share of jobs that were on time. */
  readonly shares: readonly number[]
  /** Lateness in ms of the latest job; Infinity if one never ended. */
  readonly latest: number
  readonly backlogItems: number
}
