/** What a daemon wants for the batch items that wait there: slots, and how urgent the first of them is. Times in ms. */
export interface BatchBid {
  readonly count: number
  /** When the job of the first is due, monotonic. */
  readonly due: number
  /** How much longer it would run. */
  readonly remaining: number
}
