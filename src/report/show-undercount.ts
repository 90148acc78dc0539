import type { MergedAccount } from '../admission/merged-account.js'

/** What an account may lack, as a sentence. */
export function showUndercount ({ asked, runs }: MergedAccount['mayMiss']): string {
  if (asked === 0) return 'lacks nothing'
  if (runs.length === 0) return `may lack up to ${asked} online requests, of runs that ended without their last write`
  return `may lack up to ${asked} online requests, of ${runs.length === 1 ? '1 run' : `${runs.length} runs`}`
}
