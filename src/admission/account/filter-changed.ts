import { isDeepStrictEqual } from 'node:util'

/** Returns the entries of `now` that are missing from `before` or differ there. */
export function filterChanged<T> (now: Readonly<Record<string, T>>, before: Readonly<Record<string, T>>): Readonly<Record<string, T>> {
  return Object.fromEntries(Object.entries(now).filter(([key, value]) => !isDeepStrictEqual(value, before[key])))
}
