import { isDeepStrictEqual } from 'node:util'
import { checkContradictions } from './check-contradictions.js'
import { checkEntry } from './check-entry.js'
import type { Configuration } from './configuration.js'
import { configurationSchema } from './configuration-schema.js'
import { createEntry } from './create-entry.js'
import type { Finding } from './finding.js'
import { isValueMap } from './is-value-map.js'
import type { KeySchema } from './key-schema.js'
import type { ValueMap } from './value-map.js'

/** Names checked between two pauses. */
const STEP = 200

type Checked = Omit<Configuration, 'version'>
type MapSchema = Extract<KeySchema, { readonly type: 'map' }>
type Known = WeakMap<object, unknown>

/**
 * The configuration that a merged folder gives; undefined where anything is wrong with it, which `checkInSteps` then
 * says with its place. `known` keeps what each name came to, so that only names that have changed are checked again; one
 * to which no default was added is held once.
 */
export function * checkValues (root: ValueMap, known: Known): Generator<void, Checked | undefined> {
  const schemas: Readonly<Record<string, KeySchema>> = configurationSchema.type === 'object' ? configurationSchema.keys : {}
  const named: Record<string, ValueMap> = {}
  const rest = new Map(Object.entries(root))
  for (const [key, value] of rest) {
    const schema = Object.hasOwn(schemas, key) ? schemas[key] : undefined
    if (schema?.type !== 'map' || !isValueMap(value)) continue
    const checked = yield * checkNames(value, schema, known)
    if (checked === undefined) return undefined
    named[key] = checked
    rest.set(key, {})
  }
  const findings: Finding[] = []
  const entry = createEntry(Object.fromEntries(rest))
  const configuration = { ...checkEntry(entry, configurationSchema, '', findings) as Checked, ...named }
  yield
  return findings.length === 0 && checkContradictions(configuration, entry).length === 0 ? configuration : undefined
}

function * checkNames (value: ValueMap, schema: MapSchema, known: Known): Generator<void, ValueMap | undefined> {
  const names = Object.entries(value)
  if (names.length > schema.maxKeys) return undefined
  const fresh = names.filter(([, of]) => !isValueMap(of) || !known.has(of))
  for (let start = 0; start < fresh.length; start += STEP) {
    const step = fresh.slice(start, start + STEP)
    const findings: Finding[] = []
    const checked = checkEntry(createEntry(Object.fromEntries(step)), schema, '', findings) as ValueMap
    if (findings.length > 0) return undefined
    for (const [name, of] of step) known.set(of as object, isDeepStrictEqual(of, checked[name]) ? of : checked[name])
    yield
  }
  return Object.fromEntries(names.map(([name, of]) => [name, known.get(of as object)]))
}
