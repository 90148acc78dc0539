import type { Route } from './route.js'

/**
 * Returns the route of the host with the longest path prefix that matches `path`; undefined if none matches.
 *
 * @example
 * findRoute(Object.values(configuration.routes ?? {}), 'desk.example', '/berths/7')
 */
export function findRoute (routes: readonly Route[], host: string, path: string): Route | undefined {
  let best: Route | undefined
  for (const route of routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best
}
