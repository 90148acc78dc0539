import type { ObjectApi } from '../../stand-ins/machines/object-api.js'

/** A call to the thread of a `ThreadedStore`; `start` is answered with the port, `stand still` blocks its thread for `time` ms. */
export type StoreCall =
  | { readonly type: 'start' }
  | { readonly type: 'put', readonly kind: string, readonly name: string, readonly spec: unknown }
  | { readonly type: 'remove', readonly kind: string, readonly name: string }
  | { readonly type: 'stand still', readonly time: number }
  | { readonly type: 'faults', readonly faults: Omit<ObjectApi['faults'], 'lateWrites'> }
