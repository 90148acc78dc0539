import type { Entry } from './entry.js'

/**
 * Entries of one key, the latest last, as one: maps are merged key by key, and anything else replaces what came
 * before it. Each key is visited once, whatever the number of files.
 */
export function mergeEntries (entries: readonly [Entry, ...Entry[]]): Entry {
  if (entries.length === 1) return entries[0]
  const latest = entries.at(-1)!
  const start = entries.findLastIndex(({ type }) => type !== 'map')
  const replaced = entries.slice(0, latest.type === 'map' ? start + 1 : -1).map(({ place }) => place.file)
  if (latest.type !== 'map') return { ...latest, replaced }
  const keys = new Map<string, Entry>()
  const shared = new Map<string, [Entry, ...Entry[]]>()
  for (const entry of entries.slice(start + 1)) {
    for (const [key, value] of entry.type === 'map' ? entry.keys : []) {
      const known = keys.get(key)
      if (known === undefined) keys.set(key, value)
      else addTo(shared, key, known, value)
    }
  }
  for (const [key, group] of shared) keys.set(key, mergeEntries(group))
  return { ...entries[start + 1]!, type: 'map', replaced, keys }
}

/** Appends in place: `callers` alone may be set by thousands of files. */
function addTo (shared: Map<string, [Entry, ...Entry[]]>, key: string, first: Entry, value: Entry): void {
  const group = shared.get(key)
  if (group === undefined) shared.set(key, [first, value])
  else group.push(value)
}
