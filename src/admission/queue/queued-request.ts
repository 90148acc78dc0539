/** A request that waits for a slot. */
export interface QueuedRequest {
  readonly id: number
  readonly caller: string
  /** Virtual time at which the share of its caller entitles it to start. */
  readonly start: number
}
