import type { StoreError } from '../store/store-error.js'

/** Why a job wasn't accepted; `no memory` means that nothing of it was stored, because its items don't fit beside those of other jobs. */
export type AcceptError = StoreError | { readonly type: 'no memory' }
