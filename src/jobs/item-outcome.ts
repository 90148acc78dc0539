/** How one run of an item ended: whole; stopped by us; refused unrun; withheld before its first byte; by its server's error; as what can never be done; or cut. */
export type ItemOutcome =
  | { readonly type: 'completed' }
  | { readonly type: 'stopped' }
  | { readonly type: 'refused' }
  | { readonly type: 'withheld' }
  | { readonly type: 'failed' }
  | { readonly type: 'impossible' }
  | { readonly type: 'lost', readonly detail: string }
