/** What an owner hears of online requests. */
export type OnlineCountsEvent =
  /**
   * A daemon's whole level: its online requests at each server, those with none left out. `number` grows with each
   * message of a reporter, and from one run of it to the next.
   */
  | { readonly type: 'told', readonly reporter: string, readonly number: number, readonly counts: ReadonlyMap<string, number> }
  | { readonly type: 'lost', readonly reporter: string }
  | { readonly type: 'tick' }
