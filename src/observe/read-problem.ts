/** Why a file, or some of its lines, could not be read as a log. */
export type ReadProblem =
  /** The file can't be read to its end. */
  | { readonly type: 'unreadable', readonly file: string, readonly detail: string }
  /** No line is a log line. */
  | { readonly type: 'no log', readonly file: string }
  /** Some lines are broken: their count, the first line number, and the lines that contain the traced id. */
  | { readonly type: 'broken', readonly file: string, readonly count: number, readonly first: number, readonly withId: ReadonlyArray<{ readonly number: number, readonly text: string }> }
