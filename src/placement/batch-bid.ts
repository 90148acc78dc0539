/** A daemon's request for batch slots: how many, and how urgent its first waiting item is. Times in ms. */
export interface BatchBid {
  readonly count: number
  /** Due time of the first item's job, monotonic. */
  readonly due: number
  /** Estimated time that the first item still has to run. */
  readonly remaining: number
  /** Servers that none of the waiting items may run on. */
  readonly avoided?: readonly string[]
}
