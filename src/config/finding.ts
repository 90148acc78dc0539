/** One thing that is wrong in a file, with its place. Findings are collected and reported together. */
export interface Finding {
  readonly file: string
  readonly line: number
  readonly column: number
  readonly message: string
}
