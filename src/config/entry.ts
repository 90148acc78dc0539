import type { SourceLocation } from './source-location.js'

interface BaseEntry {
  readonly location: SourceLocation
  /** Files whose value for this key a later file replaced, in the order of their names. */
  readonly replaced: readonly string[]
}

/** One value of a YAML file with its place. */
export type Entry =
  | BaseEntry & { readonly type: 'map', readonly keys: ReadonlyMap<string, Entry> }
  | BaseEntry & { readonly type: 'list', readonly items: readonly Entry[] }
  | BaseEntry & { readonly type: 'scalar', readonly value: unknown }
