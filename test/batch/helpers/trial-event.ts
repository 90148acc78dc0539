/** A fault in a trial. `at` and `length` are in seconds. */
export type TrialEvent =
  | { readonly type: 'kill' | 'replace', readonly daemon: number, readonly at: number }
  | { readonly type: 'pause', readonly daemon: number, readonly at: number, readonly length: number }
  | { readonly type: 'outage' | 'lost replies' | 'old reads', readonly at: number, readonly length: number }
