import { failUnreachable } from '../kernel/unreachable.js'
import type { KeySchema } from './key-schema.js'

/** Returns the default of a key, given the sibling keys before it; undefined if the key is required or stays absent. */
export function readDefault (schema: KeySchema, siblings: Readonly<Record<string, unknown>> = {}): unknown {
  switch (schema.type) {
    case 'text':
    case 'number':
    case 'choice': return schema.default
    case 'boolean': return schema.default ?? schema.defaultBy?.values[String(siblings[schema.defaultBy.key])]
    case 'list': return undefined
    case 'map': return {}
    case 'object': return readDefaults(schema.keys)
    default: return failUnreachable(schema)
  }
}

/** Returns the default of an object, which it has if each of its required keys has one. */
function readDefaults (keys: Readonly<Record<string, KeySchema>>): unknown {
  const values: Record<string, unknown> = {}
  for (const [key, schema] of Object.entries(keys)) {
    const value = readDefault(schema, values)
    if (value === undefined && schema.optional !== true) return undefined
    values[key] = value
  }
  return values
}
