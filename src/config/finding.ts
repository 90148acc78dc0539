import type { SourceLocation } from './source-location.js'

/** One thing that is wrong in a file, with its place. Findings are collected and reported together. */
export interface Finding extends SourceLocation {
  readonly message: string
}
