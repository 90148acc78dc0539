/** What became of one job. */
export interface HuntJob {
  readonly name: string
  /** Every id given for it; sent again it is the same job. */
  readonly ids: readonly string[]
  readonly ended: boolean
  readonly status: string
  readonly items: number
  /** Items that have a result, with what is wrong with it, or undefined, and the marked words of what completed. */
  readonly results: ReadonlyArray<{ readonly item: string, readonly wrong?: string, readonly marked?: string }>
  /** How often its results were read before the last time, and the different lines read, the last time's too. */
  readonly reads: number
  readonly seen: ReadonlyArray<{ readonly item: string, readonly lines: readonly string[] }>
  readonly sameBytes: boolean
  /** Items that may run at most once. */
  readonly once: readonly string[]
  /** Runs of its items that began later than the bound after its cancelling was acknowledged. */
  readonly lateStarts: number
}
