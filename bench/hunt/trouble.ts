import type { PlatformFaults } from '../../stand-ins/platform/platform-faults.js'

/** A fault in a hunt: begins `at` ms after the load and, if it is temporary, lasts `lasting` ms. */
export type Trouble = { readonly at: number } & (
  | { readonly type: 'daemon killed', readonly daemon: number }
  | { readonly type: 'daemon replaced', readonly daemon: number }
  | { readonly type: 'daemon frozen', readonly daemon: number, readonly lasting: number }
  | { readonly type: 'daemon drained', readonly daemon: number }
  | { readonly type: 'engine killed', readonly engine: number }
  | { readonly type: 'engine frozen', readonly engine: number, readonly lasting: number }
  | { readonly type: 'engine cuts answers', readonly engine: number, readonly lasting: number }
  | { readonly type: 'open connections silent', readonly engine: number }
  | { readonly type: 'service silent', readonly service: number, readonly lasting: number }
  | { readonly type: 'service cuts answers', readonly service: number, readonly lasting: number }
  | { readonly type: 'regions parted', readonly lasting: number }
  | { readonly type: 'platform', readonly faults: PlatformFaults, readonly lasting: number }
)
