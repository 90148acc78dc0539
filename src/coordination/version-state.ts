import type { VersionHead } from './version-head.js'

/** One holder's knowledge of a versioned configuration. `head` is acted on; `target` is a higher one being fetched. */
export interface VersionState<Part> {
  readonly head?: VersionHead
  readonly target?: VersionHead
  /** Parts of `head` and those fetched for `target`, by hash. */
  readonly parts: ReadonlyMap<string, Part>
  /** Other holders drawn at the last tick. */
  readonly peers: readonly string[]
  /** Highest version heard of, who was asked for it and when (ms), so that many digests cause one question. */
  readonly asked: { readonly version: number, readonly from?: string, readonly at: number }
  /** When peers were last told our version (ms). */
  readonly digestSentAt: number
  /** When parts were last asked for (ms), and how often since the last ones came. */
  readonly fetched: { readonly at: number, readonly tries: number }
}
