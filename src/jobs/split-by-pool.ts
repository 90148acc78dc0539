import { chooseService } from '../config/choose-service.js'
import type { Route } from '../config/route.js'
import type { Random } from '../kernel/random.js'

/** Splits items by the service that each runs at now, in their order. Items of one route all get the same one, at random by the weights. */
export function splitByPool<T extends { readonly route: Route }> (items: readonly T[], random: Random): ReadonlyMap<string, readonly T[]> {
  const chosen = new Map<Route, string | undefined>()
  const byPool = new Map<string, T[]>()
  for (const item of items) {
    if (!chosen.has(item.route)) chosen.set(item.route, chooseService(item.route.services, random))
    const pool = chosen.get(item.route)
    if (pool === undefined) continue
    const others = byPool.get(pool)
    if (others === undefined) byPool.set(pool, [item])
    else others.push(item)
  }
  return byPool
}
