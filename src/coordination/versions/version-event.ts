import type { VersionHead } from './version-head.js'
import type { VersionMessage } from './version-message.js'

/**
 * An event of a holder of a versioned configuration: a message of another holder, a result of a read from the store, or
 * a tick with some other holders sampled at random, at least every second.
 */
export type VersionEvent<Part> =
  | { readonly type: 'message', readonly from: string, readonly message: VersionMessage<Part> }
  /** `parts` are those already available. */
  | { readonly type: 'read head', readonly head: VersionHead, readonly parts?: readonly Part[] }
  | { readonly type: 'read parts', readonly parts: readonly Part[] }
  | { readonly type: 'tick', readonly peers: readonly string[] }
