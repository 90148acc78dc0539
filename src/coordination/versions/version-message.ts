import type { VersionHead } from './version-head.js'

/** A message between holders of a versioned configuration. It may be lost, repeated or late. */
export type VersionMessage<Part> =
  | { readonly type: 'digest', readonly version: number }
  | { readonly type: 'ask head' }
  | { readonly type: 'head', readonly head: VersionHead }
  | { readonly type: 'ask parts', readonly hashes: readonly string[] }
  | { readonly type: 'parts', readonly parts: readonly Part[] }
