import type { VersionHead } from './version-head.js'
import type { VersionMessage } from './version-message.js'

/**
 * An action for a holder: send a message, send it to a few random holders (`spread`), read parts from the store, or act
 * on a version whose parts are all present.
 */
export type VersionEffect<Part> =
  | { readonly type: 'send', readonly to: string, readonly message: VersionMessage<Part> }
  | { readonly type: 'spread', readonly message: VersionMessage<Part> }
  | { readonly type: 'read parts', readonly hashes: readonly string[] }
  | { readonly type: 'act', readonly head: VersionHead, readonly parts: readonly Part[] }
