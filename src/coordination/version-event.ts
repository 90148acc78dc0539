import type { VersionHead } from './version-head.js'
import type { VersionMessage } from './version-message.js'

/**
 * What a holder of a versioned configuration meets: a message of another holder, something read from the store, or
 * a tick with some other holders drawn at random, at least every second.
 */
export type VersionEvent<Part> =
  | { readonly type: 'message', readonly from: string, readonly message: VersionMessage<Part> }
  /** `parts` are those at hand. */
  | { readonly type: 'read head', readonly head: VersionHead, readonly parts?: readonly Part[] }
  | { readonly type: 'read parts', readonly parts: readonly Part[] }
  | { readonly type: 'tick', readonly peers: readonly string[] }
