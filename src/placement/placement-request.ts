import type { Refusal } from '../admission/refusal.js'

/** An online request that needs a slot at a server of the pool. Times in monotonic ms. */
export interface PlacementRequest {
  readonly pool: string
  /** The caller whose key it had; undefined where none is needed. */
  readonly caller?: string
  /** Whether it was counted against its caller's quota before. */
  readonly isCounted?: boolean
  /** Its size, see `estimateSize`; undefined if it doesn't tell. */
  readonly size?: number
  readonly key?: string
  /** The only version of a server's software that may run it; any if omitted. */
  readonly version?: string
  /** Servers to use only if no other server has a slot. */
  readonly avoided: readonly string[]
  /** The server that has it and may still answer; it must not get the request again. */
  readonly excluded?: string
  readonly arrived: number
  readonly deadline: number
  /** Latest start at which a first event can reach its caller before the caller's timeout. */
  readonly beginBy: number
  /** Target time to the answer or the first event, ms. */
  readonly target: number
  readonly priority: number
  /** Time of its caller's first attempt. */
  readonly asked: number
  /** Whether it is a retry, by its caller or by this daemon. */
  readonly returning: boolean
  /** Whether it may run at another server if this one fails it. */
  readonly repeatable: boolean
  readonly signal: AbortSignal
  /** Starts the request; must count it at the server before returning. */
  readonly start: (server: string) => void
  readonly refuse: (refusal: Refusal) => void
}
