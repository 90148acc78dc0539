/** A request to the owner of a job. `wait` in ms. */
export type OwnerRequest =
  | { readonly type: 'read', readonly job: string, readonly after: number, readonly wait: number }
  | { readonly type: 'body', readonly job: string, readonly item: string }
  | { readonly type: 'end', readonly job: string }
  /** Makes the receiver adopt a job that is stored with it as the owner; its own write may have been reported as failed. */
  | { readonly type: 'care', readonly job: string }
