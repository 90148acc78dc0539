/** What of a file could not be read as lines of a log. */
export type ReadProblem =
  /** It can't be read, or not to its end. */
  | { readonly type: 'unreadable', readonly file: string, readonly detail: string }
  /** No line of it is one of a log. */
  | { readonly type: 'no log', readonly file: string }
  /** Some lines are broken: how many, the first of them, and those that hold the id that was asked for. */
  | { readonly type: 'broken', readonly file: string, readonly count: number, readonly first: number, readonly withId: ReadonlyArray<{ readonly number: number, readonly text: string }> }
