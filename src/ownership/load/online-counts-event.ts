/** An event that changes an owner's counts of online requests. */
export type OnlineCountsEvent =
  /**
   * All counts of one daemon: its online requests at each server, without zeros. `number` increases with each message
   * of a reporter, also across its restarts.
   */
  | { readonly type: 'told', readonly reporter: string, readonly number: number, readonly counts: ReadonlyMap<string, number> }
  | { readonly type: 'lost', readonly reporter: string }
  | { readonly type: 'tick' }
