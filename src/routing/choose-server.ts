import { rankOwners } from '../coordination/rank-owners.js'
import type { Random } from '../kernel/random.js'
import type { BackendServer } from './backend-server.js'

/** How far above the mean load the server of a prefix may be and still be taken. */
const LOAD_BOUND = 1.25
/** Requests above that bound which make no difference to an engine that runs many at once. */
const LOAD_SLACK = 4
/** Servers that may hold a key. */
const AFFINITY_SERVERS = 2

interface ChooseOptions {
  readonly random: Random
  /** Requests in flight above which no server is chosen. */
  readonly limit: number
  /** Servers that are out of the question. */
  readonly excluded?: readonly string[]
  /** Failure domains to leave alone while another one is open. */
  readonly avoided?: readonly string[]
  /** Requests with the same key go to the same server while its load allows. */
  readonly key?: string
}

/**
 * Picks a server that isn't leaving, isn't excluded and is below its limits. The server that rendezvous hashing
 * gives for `key` is taken while its load is within a bound of the mean, because it holds the prefix in its cache;
 * otherwise the less busy of two drawn at random, which keeps the longest queue short at a constant cost.
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
 * The first of the two servers ranked for the key that isn't too busy. The ranks are among all that stay, so that
 * one at its limit doesn't move the others' keys; a second rank, and slack while all have room, keep copies of one
 * request together though the daemons that choose know of different loads.
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
