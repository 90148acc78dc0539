import type { Entry } from './entry.js'
import { isValueMap } from './is-value-map.js'

const SHARED = { place: { file: '', line: 1, column: 1 }, replaced: [] }

/** An entry for a plain value whose place isn't known. */
export function createEntry (value: unknown): Entry {
  if (Array.isArray(value)) return { ...SHARED, type: 'list', items: value.map(createEntry) }
  if (!isValueMap(value)) return { ...SHARED, type: 'scalar', value }
  return { ...SHARED, type: 'map', keys: new Map(Object.entries(value).map(([key, of]) => [key, createEntry(of)])) }
}
