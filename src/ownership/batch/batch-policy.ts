/**
 * How batch work shares a server with online requests. All types but `preempting` are baselines for benchmarks and
 * fallbacks for operators.
 */
export type BatchPolicy =
  /** No batch work. */
  | { readonly type: 'none' }
  /** As many streams as the server may have in flight, regardless of online requests. */
  | { readonly type: 'forward' }
  /** A fixed number of streams, by default half of what the server may have in flight, regardless of online requests. */
  | { readonly type: 'static', readonly streams?: number }
  /** Uses what the server's lagged load reports show as free, and preempts streams when a report shows too little. */
  | { readonly type: 'load reports' }
  /**
   * Preempts streams for each online request as it begins, and uses idle capacity. Items with long prompts are `paced`
   * (the default) to bound the tail latency of online requests, or start `at once` for more batch throughput.
   */
  | { readonly type: 'preempting', readonly longPrompts?: 'paced' | 'at once' }
