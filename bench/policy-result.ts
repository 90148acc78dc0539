import type { LoadSummary } from '../src/load/load-summary.js'
import type { EngineWork } from './engine-work.js'
import type { IdleAccount } from './idle-account.js'

/** Measurements of one policy at one site. Rates in tokens per second. */
export interface PolicyResult {
  readonly site: string
  readonly letter: string
  readonly name: string
  readonly load: LoadSummary
  readonly work: EngineWork
  readonly seconds: number
  /** For each engine, the breakdown of its idle time. */
  readonly idleAccounts: readonly IdleAccount[]
  /** Starts that admission allowed but that did not happen, counted by the daemons by cause. */
  readonly missedStarts: Readonly<Record<string, number>>
  /** Mean share of time in which an engine ran nothing. */
  readonly idleShare: number
  readonly batchRate: number
  readonly itemRate: number
}
