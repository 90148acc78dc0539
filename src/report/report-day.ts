import type { MergedAccount } from '../admission/merged-account.js'

/** The account of one day, as a daemon gave it. */
export interface ReportDay extends MergedAccount {
  /** YYYY-MM-DD, UTC. */
  readonly day: string
  /** Daemons that were asked and didn't answer. */
  readonly silent: readonly string[]
}
