import type { Random } from '../kernel/random.js'
import type { BackendServer } from './backend-server.js'

/**
 * Picks the less busy of two servers drawn at random, among those that aren't leaving, aren't excluded and are
 * below `limit` requests in flight. Two choices keep the longest queue short at a constant cost.
 */
export function chooseServer (servers: readonly BackendServer[], { random, limit, excluded = [] }: {
  readonly random: Random
  readonly limit: number
  readonly excluded?: readonly string[]
}): BackendServer | undefined {
  const open = servers.filter(server => !server.leaving && server.inFlight < limit && !excluded.includes(server.name))
  if (open.length <= 1) return open[0]
  const first = random.below(open.length)
  const second = (first + 1 + random.below(open.length - 1)) % open.length
  return open[first]!.inFlight <= open[second]!.inFlight ? open[first] : open[second]
}
