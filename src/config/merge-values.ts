import { isValueMap } from './is-value-map.js'
import type { ValueMap } from './value-map.js'

/** Maps merged between two yields. */
const MAPS_PER_STEP = 200

/**
 * Merges maps, ordered from oldest to newest, as `mergeEntries` does: maps key by key, and any other value replaces those
 * before it. A value that only one map has keeps its object identity, so that caches recognise it as unchanged.
 */
export function * mergeValues (maps: readonly ValueMap[]): Generator<void, ValueMap> {
  const groups = new Map<string, unknown[]>()
  for (const [i, map] of maps.entries()) {
    for (const [key, value] of Object.entries(map)) {
      const group = groups.get(key)
      if (group === undefined) groups.set(key, [value])
      else if (isValueMap(value)) group.push(value)
      else groups.set(key, [value])
    }
    if (i % MAPS_PER_STEP === MAPS_PER_STEP - 1) yield
  }
  const merged: Array<[string, unknown]> = []
  for (const [key, group] of groups) {
    const maps = isValueMap(group[0]) ? group as ValueMap[] : group.slice(1) as ValueMap[]
    merged.push([key, group.length === 1 ? group[0] : maps.length === 1 ? maps[0] : yield * mergeValues(maps)])
  }
  return Object.fromEntries(merged)
}
