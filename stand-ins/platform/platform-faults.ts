/**
 * What goes wrong at the stand-in platform, set by POST /control/faults; an absent field is no fault. Shares are
 * of calls, from 0 to 1, and times in ms. Which calls are hit follows from the seed and the order of the calls.
 */
export interface PlatformFaults {
  /** `refused`: 503 at once; `reset`: the connection is cut; `silent`: no answer ever comes. Nothing takes effect. */
  readonly outage?: 'refused' | 'reset' | 'silent'
  /** Added to each call, spread by a quarter either way. */
  readonly slowness?: number
  /** Share of writes that take effect and whose connection is then cut. */
  readonly lostReplies?: number
  /** Share of writes whose connection is cut at once and that are tried `delay` ms later, when nobody waits for them. */
  readonly delayedWrites?: { readonly share: number, readonly delay: number }
  /** Share of gets, lists and first watches answered with the state of `lag` ms ago. */
  readonly oldReads?: { readonly share: number, readonly lag: number }
  /** Watches are accepted and never answered, beyond the time they asked for. */
  readonly silentWatches?: boolean
  /** How far the instance list is behind. */
  readonly instanceLag?: number
  /** Calls a second above which calls are refused with 429. */
  readonly writesPerSecond?: number
  readonly readsPerSecond?: number
  readonly seed?: number
}
