import type { MergedAccount } from '../admission/account/merged-account.js'

/** Formats how many online requests may be missing from an account. */
export function showUndercount ({ asked, runs }: MergedAccount['mayMiss']): string {
  if (asked === 0) return 'no online requests are missing'
  if (runs.length === 0) return `up to ${asked} online requests may be missing, from runs that ended without their last write`
  return `up to ${asked} online requests may be missing, from ${runs.length === 1 ? '1 run' : `${runs.length} runs`}`
}
