import type { ValueMap } from './value-map.js'

/** Returns true for a map; false for a list or a scalar, including the dates and binary values of YAML 1.1. */
export function isValueMap (value: unknown): value is ValueMap {
  return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
}
