/** A request that waits for a place. */
export interface QueuedRequest {
  readonly id: number
  readonly caller: string
  /** Virtual time at which its caller's share entitles it to begin. */
  readonly start: number
}
