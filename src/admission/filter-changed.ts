import { isDeepStrictEqual } from 'node:util'

/** The entries of `now` that `before` has not, or otherwise. */
export function filterChanged<T> (now: Readonly<Record<string, T>>, before: Readonly<Record<string, T>>): Readonly<Record<string, T>> {
  return Object.fromEntries(Object.entries(now).filter(([key, value]) => !isDeepStrictEqual(value, before[key])))
}
