/** What one daemon says of its requests: in flight by server, and waiting for a slot by pool. */
export interface LoadRow {
  /** Server, online requests, batch items. */
  readonly counts: ReadonlyArray<readonly [string, number, number]>
  readonly waiting: ReadonlyArray<readonly [string, number]>
}
