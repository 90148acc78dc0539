import type { StreamOrigin } from './stream-origin.js'

/** What is known of the origin of a stream that its caller resumes. */
export type FoundOrigin =
  /** `by`: a record of this daemon's, a record in the store, the pool's default in the store, or a record of another daemon. */
  | { readonly type: 'known', readonly origin: StreamOrigin, readonly by: 'own record' | 'stored record' | 'default version' | 'peer' }
  | { readonly type: 'unknown' }
