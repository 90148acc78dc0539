import type { DueOrder } from './due-order.js'

/** What one order gave at one site, over all seeds. */
export interface DueReport {
  readonly site: string
  readonly faults: boolean
  readonly order: DueOrder
  readonly jobs: number
  readonly onTime: number
  /** Of each seed, the share of jobs that were on time. */
  readonly shares: readonly number[]
  /** ms by which the latest one was late; Infinity where one never ended. */
  readonly latest: number
  readonly backlogItems: number
}
