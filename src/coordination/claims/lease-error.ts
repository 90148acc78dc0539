import type { StoreError } from '../../store/store-error.js'

/**
 * Why a lease couldn't be taken or renewed.
 * - `held`: another holder has it; it can expire in `wait` ms at the earliest.
 * - `lost`: it expired by this holder's clock, or another holder has written since; call `take` again.
 * - `store`: the store failed; a lease that was held stays held until it expires by the clock.
 */
export type LeaseError =
  | { readonly type: 'held', readonly by: string, readonly wait: number }
  | { readonly type: 'lost' }
  | { readonly type: 'store', readonly error: StoreError }
