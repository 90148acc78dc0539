/** The properties of a waiting request that decide its rank. Times in monotonic ms. */
export interface RankedRequest {
  /** The caller whose share its slot counts against; empty where callers have no shares. */
  readonly flow: string
  readonly arrived: number
  /** Start of its target time: its arrival, or its caller's first attempt if that wasn't refused. */
  readonly targetStart: number
  /** Target time to its first event, ms from `targetStart`. */
  readonly target: number
  readonly priority: number
  /** Its size, see `estimateSize`; the pool's mean if it doesn't tell. */
  readonly size: number
  /** Whether it is a retry. */
  readonly returning: boolean
  /** Whether its caller had its share or more when it came; true where callers have no shares. */
  readonly isShareUsed: boolean
}
