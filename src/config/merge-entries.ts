import type { Entry } from './entry.js'

/** Entries merged between two pauses. */
const ENTRIES_PER_STEP = 200

/**
 * Entries of one key, the latest last, as one: maps are merged key by key, and anything else replaces what came
 * before it. Each key is visited once, whatever the number of files. It pauses now and then, see `checkInSteps`.
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

/** Appends in place: `callers` alone may be set by thousands of files. */
function addToGroup (shared: Map<string, [Entry, ...Entry[]]>, key: string, first: Entry, value: Entry): void {
  const group = shared.get(key)
  if (group === undefined) shared.set(key, [first, value])
  else group.push(value)
}
