import type { Entry } from './entry.js'

/** Entries merged between two yields. */
const ENTRIES_PER_STEP = 200

/**
 * Merges the entries of one key, ordered from oldest to newest: maps are merged key by key, and any other value replaces
 * those before it. Each key is visited once, regardless of the number of files. Yields regularly, see `checkInSteps`.
 */
export function * mergeEntries (entries: readonly [Entry, ...Entry[]]): Generator<void, Entry> {
  if (entries.length === 1) return entries[0]
  const latest = entries.at(-1)!
  const start = entries.findLastIndex(({ type }) => type !== 'map')
  const replaced = entries.slice(0, latest.type === 'map' ? start + 1 : -1).map(({ location }) => location.file)
  if (latest.type !== 'map') return { ...latest, replaced }
  const keys = new Map<string, Entry>()
  const shared = new Map<string, [Entry, ...Entry[]]>()
  for (const [i, entry] of entries.slice(start + 1).entries()) {
    for (const [key, value] of entry.type === 'map' ? entry.keys : []) {
      const existing = keys.get(key)
      if (existing === undefined) keys.set(key, value)
      else addToGroup(shared, key, existing, value)
    }
    if (i % ENTRIES_PER_STEP === ENTRIES_PER_STEP - 1) yield
  }
  for (const [key, group] of shared) keys.set(key, yield * mergeEntries(group))
  return { ...entries[start + 1]!, type: 'map', replaced, keys }
}

/** Appends in place, since thousands of files may set the same key, such as `callers`. */
function addToGroup (shared: Map<string, [Entry, ...Entry[]]>, key: string, first: Entry, value: Entry): void {
  const group = shared.get(key)
  if (group === undefined) shared.set(key, [first, value])
  else group.push(value)
}
