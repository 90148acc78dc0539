/** What every daemon knows of an open job: enough to find its owner and to count what waits. */
export interface KnownJob {
  readonly id: string
  readonly host: string
  readonly path: string
  readonly submittedAt: number
  readonly owner: string
  readonly run: number
  /** Tokens of its items that aren't finished. */
  readonly tokensLeft: number
  /** Whether its items are known to be stored; of a job that is known by its head alone they may be missing. */
  readonly stored: boolean
  /** Whether nothing of it is left to do: every item has its result, or it was ended. */
  readonly closed: boolean
}
