import type { Entry } from './entry.js'
import type { SourceLocation } from './source-location.js'

/** A merged key, the location that sets it and the files that it overrides. */
interface MergedKey extends SourceLocation { readonly key: string, readonly replaced: readonly string[] }

/** Lists every merged key that holds a value. */
export function listKeys (entry: Entry, path = ''): readonly MergedKey[] {
  if (entry.type !== 'map') return [{ key: path, ...entry.location, replaced: entry.replaced }]
  return [...entry.keys].flatMap(([key, value]) => listKeys(value, path === '' ? key : `${path}.${key}`))
}
