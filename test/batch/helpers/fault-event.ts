/** A fault in a trial. `at` and `length` are in seconds. */
export type FaultEvent =
  | { readonly type: 'kill' | 'replace', readonly daemon: number, readonly at: number }
  /** `cut`: this daemon alone can't reach the platform. */
  | { readonly type: 'pause' | 'cut', readonly daemon: number, readonly at: number, readonly length: number }
  | { readonly type: 'outage' | 'lost replies' | 'old reads', readonly at: number, readonly length: number }
