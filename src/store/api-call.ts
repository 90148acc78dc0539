/** One call to the platform's object API. Times in ms. */
export type ApiCall =
  | { readonly type: 'get', readonly kind: string, readonly name: string }
  | { readonly type: 'put', readonly kind: string, readonly name: string, readonly value: unknown, readonly version: number, readonly writeId: string }
  | { readonly type: 'put status', readonly kind: string, readonly name: string, readonly status: unknown }
  | { readonly type: 'delete', readonly kind: string, readonly name: string, readonly version: number }
  | { readonly type: 'list', readonly kind: string, readonly prefix: string, readonly after: string, readonly limit: number }
  | { readonly type: 'watch', readonly kind: string, readonly revision: number, readonly wait: number }
  | { readonly type: 'instances' }
