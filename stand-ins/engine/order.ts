/** An order to a stand-in engine, the body of POST /orders. */
export type Order =
  | { readonly kind: 'load', readonly fencing: number, readonly model: string }
  | { readonly kind: 'unload', readonly fencing: number, readonly model: string }
  | { readonly kind: 'role', readonly fencing: number, readonly role: string }
