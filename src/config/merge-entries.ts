import type { Entry } from './entry.js'

/** `later` over `earlier`, key by key: two maps are merged, and anything else of the later file replaces the earlier. */
export function mergeEntries (earlier: Entry, later: Entry): Entry {
  if (earlier.type !== 'map' || later.type !== 'map') return { ...later, replaced: [...earlier.replaced, earlier.place.file] }
  const keys = new Map(earlier.keys)
  for (const [key, entry] of later.keys) {
    const present = keys.get(key)
    keys.set(key, present === undefined ? entry : mergeEntries(present, entry))
  }
  return { ...earlier, keys }
}
