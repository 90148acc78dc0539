import type { Entry } from './entry.js'
import { isValueMap } from './is-value-map.js'

const BASE = { location: { file: '', line: 1, column: 1 }, replaced: [] }

/** Creates an entry for a plain value without a location. */
export function createEntry (value: unknown): Entry {
  if (Array.isArray(value)) return { ...BASE, type: 'list', items: value.map(createEntry) }
  if (!isValueMap(value)) return { ...BASE, type: 'scalar', value }
  return { ...BASE, type: 'map', keys: new Map(Object.entries(value).map(([key, of]) => [key, createEntry(of)])) }
}
