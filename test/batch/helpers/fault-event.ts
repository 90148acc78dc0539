/** A fault in a simulation. `at` and `length` are in seconds. */
export type FaultEvent =
  | { readonly type: 'kill' | 'replace', readonly daemon: number, readonly at: number }
  /** `cut`: the platform is unreachable for this daemon alone. */
  | { readonly type: 'pause' | 'cut', readonly daemon: number, readonly at: number, readonly length: number }
  | { readonly type: 'outage' | 'lost replies' | 'old reads', readonly at: number, readonly length: number }
