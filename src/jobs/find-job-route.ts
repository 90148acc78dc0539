import type { Configuration } from '../config/configuration.js'
import type { Route } from '../config/route.js'
import type { JobHeader } from './job-header.js'

type RoutedJob = Pick<JobHeader, 'host' | 'path' | 'route'>

/**
 * Returns the route that a job belongs to: the one that accepted it, whether or not its path selects another one by now. A route that was
 * renamed is known by its prefix, one whose prefix was changed by its name. Undefined where it no longer exists.
 *
 * @example
 * findJobRoute(routes, { host: 'h', path: '/sheets/friday/1', route: { name: 'sheets', pathPrefix: '/sheets/' } })
 */
export function findJobRoute (routes: NonNullable<Configuration['routes']>, { host, path, route }: RoutedJob): Route | undefined {
  const candidates = Object.values(routes).filter(other => other.jobs !== undefined && other.host === host)
  if (route === undefined) return findLongest(candidates.filter(({ pathPrefix }) => path.startsWith(pathPrefix)))
  const named = route.name === undefined ? undefined : routes[route.name]
  return candidates.find(({ pathPrefix }) => pathPrefix === route.pathPrefix) ?? candidates.find(other => other === named)
}

function findLongest (routes: readonly Route[]): Route | undefined {
  return [...routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]
}
