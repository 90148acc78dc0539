import type { AccountCounts } from '../admission/account-counts.js'

/** What one caller, team, service or day had of each kind of work. */
export interface ReportLine {
  readonly name: string
  readonly online: AccountCounts
  readonly batch: AccountCounts
}
