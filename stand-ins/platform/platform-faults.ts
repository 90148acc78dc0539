/**
 * Faults of the stand-in platform, set by POST /control/faults; an absent field is no fault. Shares are of calls, from
 * 0 to 1, and times in ms. The seed and the order of the calls determine which calls are affected.
 */
export interface PlatformFaults {
  /** `refused`: 503 at once; `reset`: the connection is cut; `silent`: no answer ever comes. Nothing takes effect. */
  readonly outage?: 'refused' | 'reset' | 'silent'
  /** Delay of each call, varied by up to a quarter either way. */
  readonly slowness?: number
  /** Share of writes that take effect and whose connection is then cut. */
  readonly lostReplies?: number
  /**
   * Share of writes that are applied `delay` ms later, or between `delay` and `most`, if their version still matches. Their
   * connection is cut at once, or with `isSilent` stays open and brings no answer.
   */
  readonly delayedWrites?: { readonly share: number, readonly delay: number, readonly most?: number, readonly isSilent?: boolean }
  /** Share of gets, lists and first watches answered with the state of `lag` ms ago. */
  readonly oldReads?: { readonly share: number, readonly lag: number }
  /** Watches are accepted and never answered, not even at the end of their wait. */
  readonly silentWatches?: boolean
  /** Age of the instance list that is returned. */
  readonly instanceLag?: number
  /** Calls per second above which calls are refused with 429. */
  readonly writesPerSecond?: number
  readonly readsPerSecond?: number
  readonly seed?: number
}
