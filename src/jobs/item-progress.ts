/** Progress of an unfinished item, from which another daemon can resume it. */
export interface ItemProgress {
  readonly id: string
  /** Id of the last event received. */
  readonly last: number
  /** The data of all events up to `last`. */
  readonly texts: readonly string[]
  readonly failures: number
}
