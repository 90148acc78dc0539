/** The outcome of one job. */
export interface HuntJob {
  readonly name: string
  /** The ids returned by each submission; these must all be equal. */
  readonly ids: readonly string[]
  readonly ended: boolean
  readonly status: string
  readonly items: number
  /** Items that have a result, with the error of a wrong result and the answer of a completed item with its run marks. */
  readonly results: ReadonlyArray<{ readonly item: string, readonly wrong?: string, readonly marked?: string }>
  /** Number of reads of its results before the last, and the different result lines of each item over all reads. */
  readonly reads: number
  readonly seen: ReadonlyArray<{ readonly item: string, readonly lines: readonly string[] }>
  readonly sameBytes: boolean
  /** Items that may run at most once. */
  readonly once: readonly string[]
  /** Runs of its items that began after the bound on its cancellation. */
  readonly lateStarts: number
}
