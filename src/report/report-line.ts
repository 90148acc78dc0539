import type { AccountCounts } from '../admission/account/account-counts.js'

/** The counts of one caller, team, service or day, by kind of work. */
export interface ReportLine {
  readonly name: string
  readonly online: AccountCounts
  readonly batch: AccountCounts
}
