import type { Configuration } from '../../config/configuration.js'

/** Lists the pools whose streams callers may resume, with the longest time of one attempt, ms. */
export function listResumablePools ({ routes = {} }: Pick<Configuration, 'routes'>): ReadonlyMap<string, number> {
  const pools = new Map<string, number>()
  for (const { resumable, services, timeout } of Object.values(routes)) {
    if (resumable) for (const { service } of services) pools.set(service, Math.max(timeout, pools.get(service) ?? 0))
  }
  return pools
}
