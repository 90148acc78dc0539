/** An order to a backend server; a fencing number is added when it is sent. */
export type ServerOrder =
  | { readonly kind: 'load', readonly model: string }
  | { readonly kind: 'unload', readonly model: string }
  | { readonly kind: 'role', readonly role: string }
