/** What an id names, with the ids of its jobs or items. */
export type TraceSubject =
  | { readonly type: 'request', readonly id: string }
  | { readonly type: 'item', readonly id: string, readonly jobs: ReadonlySet<string> }
  | { readonly type: 'job', readonly id: string, readonly items: ReadonlySet<string> }
  | { readonly type: 'server', readonly id: string }
  /** A part that prompts share. */
  | { readonly type: 'part', readonly id: string }
