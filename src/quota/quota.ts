/** A caller's quota: `rate` requests per second, and `burst` requests beyond it at once. */
export interface Quota { readonly rate: number, readonly burst: number }
