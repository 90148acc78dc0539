import type { PlatformFaults } from '../../stand-ins/platform/platform-faults.js'

/** One thing that goes wrong in a hunt: `at` ms after the load has begun, for `lasting` ms where it ends again. */
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
