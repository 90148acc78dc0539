import type { VersionHead } from './version-head.js'

/** One holder's state of a versioned configuration. `head` is acted on; `target` is a higher version being fetched. */
export interface VersionState<Part> {
  readonly head?: VersionHead
  readonly target?: VersionHead
  /** Parts of `head` and those fetched for `target`, by hash. */
  readonly parts: ReadonlyMap<string, Part>
  /** Other holders sampled at the last tick. */
  readonly peers: readonly string[]
  /**
   * Highest version announced by a peer, which peer was asked for it, and when (ms); limits several digests to one
   * request.
   */
  readonly asked: { readonly version: number, readonly from?: string, readonly at: number }
  /** When the version was last sent to peers (ms). */
  readonly digestSentAt: number
  /** When parts were last requested (ms), and how often since parts last arrived. */
  readonly fetched: { readonly at: number, readonly tries: number }
}
