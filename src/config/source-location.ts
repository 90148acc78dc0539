/** A location in a file; lines and columns count from 1. */
export interface SourceLocation {
  readonly file: string
  readonly line: number
  readonly column: number
}
