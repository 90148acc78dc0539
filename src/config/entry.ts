import type { Place } from './place.js'

interface Placed {
  readonly place: Place
  /** Files whose value for this key a later file replaced, in the order of their names. */
  readonly replaced: readonly string[]
}

/** One value of a YAML file with its place. */
export type Entry =
  | Placed & { readonly type: 'map', readonly keys: ReadonlyMap<string, Entry> }
  | Placed & { readonly type: 'list', readonly items: readonly Entry[] }
  | Placed & { readonly type: 'scalar', readonly value: unknown }
