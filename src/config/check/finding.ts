import type { SourceLocation } from '../source-location.js'

/** A problem in a file with its location. Findings are collected and reported together. */
export interface Finding extends SourceLocation {
  readonly message: string
}
