import type { LoadSummary } from '../src/load/load-summary.js'
import type { EngineWork } from './engine-work.js'
import type { IdleAccount } from './idle-account.js'

/** What one policy gave at one site. Rates in tokens a second. */
export interface PolicyResult {
  readonly site: string
  readonly letter: string
  readonly name: string
  readonly load: LoadSummary
  readonly work: EngineWork
  readonly seconds: number
  /** Of each engine, where its idle time went. */
  readonly idleAccounts: readonly IdleAccount[]
  /** Starts that admission allowed and that didn't come about, by the daemons' own count of why. */
  readonly missedStarts: Readonly<Record<string, number>>
  /** Mean share of the time in which an engine ran nothing. */
  readonly idleShare: number
  readonly batchRate: number
  readonly itemRate: number
}
