/** Whether a request with certain parts may run now. */
export type PartDecision =
  | { readonly type: 'clear', /** The part whose trial the request would be. */ readonly trial?: string, /** How many items may try it at once at this daemon; 1 if left out. */ readonly limit?: number }
  | { readonly type: 'wait', readonly part: string, /** When the last server with the part in flight was lost, or from when on items may try the part if it is refused, monotonic ms. */ readonly lostAt?: number, /** Until when another daemon is taken to try the part, monotonic ms. */ readonly begunUntil?: number, /** Whether the part is refused, not suspect. */ readonly isRefused?: boolean }
  | { readonly type: 'refused', readonly part: string, /** Time until it may run again, or be tried by an item, ms. */ readonly left: number }
