import type { Entry } from './entry.js'
import type { SourceLocation } from './source-location.js'

/** One merged key, the place that won it and the files it won over. */
interface MergedKey extends SourceLocation { readonly key: string, readonly replaced: readonly string[] }

/** Every merged key that holds a value, in the order of the schema's paths. */
export function listKeys (entry: Entry, path = ''): readonly MergedKey[] {
  if (entry.type !== 'map') return [{ key: path, ...entry.location, replaced: entry.replaced }]
  return [...entry.keys].flatMap(([key, value]) => listKeys(value, path === '' ? key : `${path}.${key}`))
}
