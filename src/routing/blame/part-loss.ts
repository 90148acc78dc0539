/** The loss of a server with requests in flight whose prompts had a part in common. Times in monotonic ms. */
export interface PartLoss {
  readonly server: string
  /** When the loss was detected. */
  readonly at: number
  /** Beginnings of the earliest and the latest run there with the part. */
  readonly first: number
  readonly began: number
  /** Number of runs there with the part, by daemon. */
  readonly runs: ReadonlyMap<string, number>
  /** Ids of the daemons' reports, by daemon. */
  readonly ids?: ReadonlyMap<string, number>
  /** The other parts that all runs there with this one had. */
  readonly beside: readonly string[]
}
