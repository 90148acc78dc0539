import type { Refusal } from '../admission/refusal.js'

/** An online request that wants a slot at a server of the pool. Times in monotonic ms. */
export interface PlacementRequest {
  readonly pool: string
  readonly key?: string
  /** Servers to use only where no other one has a place. */
  readonly avoided: readonly string[]
  readonly arrived: number
  readonly deadline: number
  /** After this its caller has left before a first event can come. */
  readonly beginBy: number
  /** Target for the answer, or the first event, ms from `arrived`. */
  readonly target: number
  readonly priority: number
  /** When its caller first asked. */
  readonly asked: number
  /** Whether it was tried before, by its caller or here. */
  readonly returning: boolean
  readonly signal: AbortSignal
  /** Begins the request; it must be counted at the server before this returns. */
  readonly start: (server: string) => void
  readonly refuse: (refusal: Refusal) => void
}
