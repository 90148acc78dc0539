/**
 * How batch work shares a server with online requests. All but `preempting` are baselines that the bench compares
 * with, and a way back for operators.
 */
export type BatchPolicy =
  /** No batch work. */
  | { readonly type: 'none' }
  /** As much as connections allow, whatever else runs there. */
  | { readonly type: 'forward' }
  /** A fixed number of streams, half of what the server may have when left out, whatever else runs there. */
  | { readonly type: 'static', readonly streams?: number }
  /** What the server's lagged load reports leave over; gives way when a report says so. */
  | { readonly type: 'load reports' }
  /**
   * Gives way to each online request as it begins, and fills what is idle. Items with long prompts are `paced` so that the
   * online tail keeps its bound, or start `at once` where batch throughput is worth more; paced when left out.
   */
  | { readonly type: 'preempting', readonly longPrompts?: 'paced' | 'at once' }
