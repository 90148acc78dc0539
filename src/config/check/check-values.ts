import { isDeepStrictEqual } from 'node:util'
import { checkConsistency } from './check-consistency.js'
import { checkEntry } from './check-entry.js'
import type { Configuration } from '../configuration.js'
import { configurationSchema } from '../configuration-schema.js'
import { createEntry } from '../create-entry.js'
import type { Finding } from './finding.js'
import { isValueMap } from '../is-value-map.js'
import type { KeySchema } from '../key-schema.js'
import type { ValueMap } from '../value-map.js'

/** Names checked between two yields. */
const NAMES_PER_STEP = 200

type CheckedConfiguration = Omit<Configuration, 'version'>
type MapSchema = Extract<KeySchema, { readonly type: 'map' }>
type CheckedValues = WeakMap<object, unknown>

/**
 * Checks a merged folder and returns its configuration; undefined if anything is wrong, for which `checkInSteps` then
 * lists findings with their locations. `checkedValues` caches the checked value of each name, so that only changed names
 * are checked again. A value that is unchanged by defaults is cached as itself, which saves a copy.
 */
export function * checkValues (root: ValueMap, checkedValues: CheckedValues): Generator<void, CheckedConfiguration | undefined> {
  const schemas: Readonly<Record<string, KeySchema>> = configurationSchema.type === 'object' ? configurationSchema.keys : {}
  const checkedMaps: Record<string, ValueMap> = {}
  const rest = new Map(Object.entries(root))
  for (const [key, value] of rest) {
    const schema = Object.hasOwn(schemas, key) ? schemas[key] : undefined
    if (schema?.type !== 'map' || !isValueMap(value)) continue
    const checked = yield * checkMapValues(value, schema, checkedValues)
    if (checked === undefined) return undefined
    checkedMaps[key] = checked
    rest.set(key, {})
  }
  const findings: Finding[] = []
  const entry = createEntry(Object.fromEntries(rest))
  const configuration = { ...checkEntry(entry, configurationSchema, '', findings) as CheckedConfiguration, ...checkedMaps }
  yield
  return findings.length === 0 && checkConsistency(configuration, entry).length === 0 ? configuration : undefined
}

function * checkMapValues (map: ValueMap, schema: MapSchema, checkedValues: CheckedValues): Generator<void, ValueMap | undefined> {
  const names = Object.entries(map)
  if (names.length > schema.maxKeys) return undefined
  const unchecked = names.filter(([, value]) => !isValueMap(value) || !checkedValues.has(value))
  for (let start = 0; start < unchecked.length; start += NAMES_PER_STEP) {
    const step = unchecked.slice(start, start + NAMES_PER_STEP)
    const findings: Finding[] = []
    const checked = checkEntry(createEntry(Object.fromEntries(step)), schema, '', findings) as ValueMap
    if (findings.length > 0) return undefined
    for (const [name, value] of step) checkedValues.set(value as object, isDeepStrictEqual(value, checked[name]) ? value : checked[name])
    yield
  }
  return Object.fromEntries(names.map(([name, value]) => [name, checkedValues.get(value as object)]))
}
