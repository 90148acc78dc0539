import type { SourceLocation } from './source-location.js'

interface BaseEntry {
  readonly location: SourceLocation
  /** Files whose value for this key was overridden by a later file, in the order of their names. */
  readonly replaced: readonly string[]
}

/** A value of a YAML file with its location. */
export type Entry =
  | BaseEntry & { readonly type: 'map', readonly keys: ReadonlyMap<string, Entry> }
  | BaseEntry & { readonly type: 'list', readonly items: readonly Entry[] }
  | BaseEntry & { readonly type: 'scalar', readonly value: unknown }
