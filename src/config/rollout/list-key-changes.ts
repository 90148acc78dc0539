import type { Entry } from '../entry.js'
import type { KeyChange } from './key-change.js'
import { readValue } from '../read-value.js'

/** Lists the merged keys whose values differ between two folders, sorted by key. */
export function listKeyChanges (before: Entry, after: Entry): readonly KeyChange[] {
  const old = indexLeaves(before)
  const next = indexLeaves(after)
  return [...new Set([...old.keys(), ...next.keys()])].sort().flatMap(key => {
    const [from, to] = [old.get(key), next.get(key)]
    if (from?.json === to?.json) return []
    return [{ key, ...(to ?? from)!.location, before: from?.json, after: to?.json }]
  })
}

interface Leaf { readonly json: string, readonly location: Entry['location'] }

function indexLeaves (entry: Entry, path = '', leaves = new Map<string, Leaf>()): ReadonlyMap<string, Leaf> {
  if (entry.type !== 'map') return leaves.set(path, { json: JSON.stringify(readValue(entry)), location: entry.location })
  for (const [key, value] of entry.keys) indexLeaves(value, path === '' ? key : `${path}.${key}`, leaves)
  return leaves
}
