import type { ValueMap } from './value-map.js'

/** Tells a map from a list, a scalar, and the dates and bytes that YAML 1.1 knows as scalars. */
export function isValueMap (value: unknown): value is ValueMap {
  return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
}
