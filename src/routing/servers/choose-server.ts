import { rankOwners } from '../../coordination/rank-owners.js'
import type { Random } from '../../kernel/random.js'
import type { BackendServer } from './backend-server.js'

/** Ratio to the mean load up to which a server still takes the requests of its keys. */
const LOAD_BOUND = 1.25
/** Requests allowed above that bound, so that it doesn't bind while loads are low. */
const LOAD_SLACK = 4
/** Servers among which the requests of one key are kept. */
const AFFINITY_SERVERS = 2

interface ChooseOptions {
  readonly random: Random
  /** Requests in flight at which a server is full, whatever its own limit. */
  readonly limit: number
  /** Names of servers that must not be chosen. */
  readonly excluded?: readonly string[]
  /** Failure domains to avoid while a server elsewhere is available. */
  readonly avoided?: readonly string[]
  /** Affinity key: requests with the same key go to the same server while its load allows. */
  readonly key?: string
}

/**
 * Returns a server that isn't leaving, isn't excluded and is below its limits; undefined if there is none. Prefers the
 * server that rendezvous hashing gives for `key`, which probably has the prompt's prefix in its cache, while its load is
 * within a bound of the mean. Otherwise takes the less loaded of two random servers.
 *
 * Source: Mirrokni et al., "Consistent hashing with bounded loads", 2016; Mitzenmacher, "The power of two choices in
 * randomized load balancing", 2001.
 */
export function chooseServer (servers: readonly BackendServer[], { random, limit, excluded = [], avoided = [], key }: ChooseOptions): BackendServer | undefined {
  const open = servers.filter(server => hasCapacity(server, limit) && !excluded.includes(server.name))
  const preferred = open.filter(({ failureDomain }) => !avoided.includes(failureDomain))
  const candidates = preferred.length > 0 ? preferred : open
  if (candidates.length <= 1) return candidates[0]
  const affinityServer = key === undefined ? undefined : findAffinityServer(servers, candidates, key)
  if (affinityServer !== undefined) return affinityServer
  const first = random.below(candidates.length)
  const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length
  return candidates[first]!.load <= candidates[second]!.load ? candidates[first] : candidates[second]
}

function hasCapacity ({ leaving, inFlight, limit }: BackendServer, highest: number): boolean {
  return !leaving && inFlight < Math.min(limit, highest)
}

/**
 * Returns the first of the two servers ranked for the key that is open and within the load bound. Ranks all servers that
 * aren't leaving, so that a full one doesn't move the keys of others. The second rank and the slack keep copies of one
 * request together although daemons see different loads.
 */
function findAffinityServer (servers: readonly BackendServer[], open: readonly BackendServer[], key: string): BackendServer | undefined {
  const remaining = servers.filter(({ leaving }) => !leaving)
  const bound = LOAD_BOUND * remaining.reduce((sum, { load }) => sum + load, 0) / remaining.length + LOAD_SLACK
  const ranked = rankOwners(key, remaining.map(({ name }) => name)).slice(0, AFFINITY_SERVERS)
  for (const name of ranked) {
    const server = open.find(other => other.name === name && other.load <= bound)
    if (server !== undefined) return server
  }
  return undefined
}
