import type { Entry } from './entry.js'

/** Returns the plain value of an entry, without locations. */
export function readValue (entry: Entry): unknown {
  switch (entry.type) {
    case 'scalar': return entry.value
    case 'list': return entry.items.map(readValue)
    case 'map': return Object.fromEntries([...entry.keys].map(([key, value]) => [key, readValue(value)]))
  }
}
