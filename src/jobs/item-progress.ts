/** Progress of an unfinished item, from which another daemon can resume it. */
export interface ItemProgress {
  readonly id: string
  /** Id of the last event received. */
  readonly last: number
  /** The data of all events up to `last`. */
  readonly texts: readonly string[]
  /** Version of the software of the server that sent them; absent from daemons of earlier releases, as if servers stated none. */
  readonly version?: string
  readonly failures: number
}
