import type { MergedAccount } from '../admission/account/merged-account.js'

/** The account of one day, as a daemon returned it. */
export interface ReportDay extends MergedAccount {
  /** YYYY-MM-DD, UTC. */
  readonly day: string
  /** Unresponsive daemons, whose recent counts are missing. */
  readonly silent: readonly string[]
}
