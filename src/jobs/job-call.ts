/** A caller's request about a job that it has submitted. `wait` in ms. */
export type JobCall =
  | { readonly type: 'read', readonly job: string, readonly after: number, readonly wait: number }
  | { readonly type: 'read item', readonly job: string, readonly item: string }
  | { readonly type: 'end', readonly job: string }
