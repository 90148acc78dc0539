import type { Result } from 'ts-results'

/** Why a call to the store failed: nothing was done, another version was present, or the result is unknown. */
type VersionStoreError =
  | { readonly type: 'conflict' }
  | { readonly type: 'missing' }
  | { readonly type: 'limited', readonly retryAfter: number }
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'invalid', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }

/** One object in a store with conditional updates. `unavailable` from `write` must mean that it was never sent. */
export interface VersionStore<T> {
  read (): Promise<Result<{ readonly version: number, readonly value: T }, VersionStoreError>>
  /** Writes if the present version is `version`; 0 means that the object doesn't exist yet. */
  write (value: T, version: number): Promise<Result<{ readonly version: number }, VersionStoreError>>
}
