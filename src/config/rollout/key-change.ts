import type { SourceLocation } from '../source-location.js'

/** A merged key that differs between two folders, with its location in the new folder, or in the old one if removed. */
export interface KeyChange extends SourceLocation {
  readonly key: string
  /** Value as JSON; undefined if the folder doesn't have the key. */
  readonly before?: string
  readonly after?: string
}
