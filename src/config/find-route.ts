import type { Configuration } from './configuration.js'
import type { Route } from './route.js'

type Routes = NonNullable<Configuration['routes']>

/** The routes of each host, those with the longest prefix first. */
const indexes = new WeakMap<Routes, ReadonlyMap<string, readonly Route[]>>()

/**
 * Returns the route of the host with the longest path prefix that matches `path`; undefined if none matches.
 *
 * @example
 * findRoute(configuration.routes ?? {}, 'desk.example', '/berths/7')
 */
export function findRoute (routes: Routes, host: string, path: string): Route | undefined {
  return getIndex(routes).get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
}

function getIndex (routes: Routes): ReadonlyMap<string, readonly Route[]> {
  const known = indexes.get(routes)
  if (known !== undefined) return known
  const index = new Map<string, Route[]>()
  for (const route of Object.values(routes)) {
    const others = index.get(route.host)
    if (others === undefined) index.set(route.host, [route])
    else others.push(route)
  }
  for (const sameHost of index.values()) sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  indexes.set(routes, index)
  return index
}
