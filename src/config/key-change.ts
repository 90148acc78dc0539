import type { SourceLocation } from './source-location.js'

/** One merged key that differs between two folders; the place is where the side that has it last sets it. */
export interface KeyChange extends SourceLocation {
  readonly key: string
  /** As JSON; undefined where the key isn't there. */
  readonly before?: string
  readonly after?: string
}
