import type { JobRoute } from '../job-route.js'

/** The published state of a job: enough to find its owner and to count the waiting tokens of its route. */
export interface KnownJob {
  readonly id: string
  readonly host: string
  readonly path: string
  /** The route that accepted it, if known. */
  readonly route?: JobRoute
  /** The caller that submitted it; undefined where requests need no key. */
  readonly caller?: string
  /** Wall-clock ms. */
  readonly submittedAt: number
  /** Name of the owning daemon, empty for none, and when its process started, wall-clock ms. */
  readonly owner: string
  readonly run: number
  /** Tokens of the unfinished items. */
  readonly tokensLeft: number
  /** Whether the items are known to be stored; they may be missing where only the header was read. */
  readonly stored: boolean
  /** Whether nothing is left to run: every item has its result, or the job was ended. */
  readonly closed: boolean
}
