/** How far an item that isn't finished has come, to go on at another daemon. */
export interface ItemProgress {
  readonly id: string
  /** Id of the last event that came. */
  readonly last: number
  /** The data of the events up to that one. */
  readonly texts: readonly string[]
  readonly failures: number
}
