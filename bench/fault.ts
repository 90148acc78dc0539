/** A fault that the fault suite applies to a running fleet. */
export type Fault =
  | { readonly type: 'engine killed' }
  | { readonly type: 'engine frozen' }
  | { readonly type: 'daemon killed' }
  | { readonly type: 'platform out', readonly lasting: number }
  | { readonly type: 'half the engines killed' }
