import type { StreamOrigin } from './stream-origin.js'

/** What is known of the origin of a stream that its caller resumes. */
export type FoundOrigin =
  /** `by`: a record of this daemon's, the only version that the pool's servers can have had, a record in the store, one that was read from it before, the pool's default, or another daemon. */
  | { readonly type: 'known', readonly origin: StreamOrigin, readonly by: 'own record' | 'only version' | 'stored record' | 'copied record' | 'default version' | 'peer' }
  | { readonly type: 'unknown' }
