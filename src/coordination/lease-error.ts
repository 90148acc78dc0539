import type { StoreError } from '../store/store-error.js'

/**
 * Why a lease was not got or kept.
 * - `held`: another holder has it; it can lapse in `wait` ms at the earliest.
 * - `lost`: it lapsed by this holder's clock, or another one has written since; `take` it again.
 * - `store`: the store failed; where a lease was held, it is held until it lapses by the clock.
 */
export type LeaseError =
  | { readonly type: 'held', readonly by: string, readonly wait: number }
  | { readonly type: 'lost' }
  | { readonly type: 'store', readonly error: StoreError }
