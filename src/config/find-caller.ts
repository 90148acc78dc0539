import { createHash } from 'node:crypto'
import type { Configuration } from './configuration.js'

type Callers = Configuration['callers']

const indexes = new WeakMap<Callers, ReadonlyMap<string, string>>()

/**
 * Returns the name of the caller that a bearer token or key belongs to; undefined where there is none.
 *
 * @example
 * findCaller(configuration.callers, 'a key') // 'charter-desk'
 */
export function findCaller (callers: Callers, key: string): string | undefined {
  return getIndex(callers).get(createHash('sha256').update(key).digest('hex'))
}

function getIndex (callers: Callers): ReadonlyMap<string, string> {
  const known = indexes.get(callers)
  if (known !== undefined) return known
  const index = new Map(Object.entries(callers).flatMap(([name, { tokens }]) => tokens.map((token): [string, string] => [token, name])))
  indexes.set(callers, index)
  return index
}
