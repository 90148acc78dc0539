/** What a daemon asks the owner of a job. `wait` in ms. */
export type OwnerRequest =
  | { readonly type: 'read', readonly job: string, readonly after: number, readonly wait: number }
  | { readonly type: 'body', readonly job: string, readonly item: string }
  | { readonly type: 'end', readonly job: string }
  /** The job is stored under the asked one's name, which may not know so. */
  | { readonly type: 'care', readonly job: string }
