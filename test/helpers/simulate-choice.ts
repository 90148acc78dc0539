import { Random } from '../../src/kernel/random.js'
import type { BackendServer } from '../../src/routing/servers/backend-server.js'
import { chooseServer } from '../../src/routing/servers/choose-server.js'

interface ChoiceOptions {
  /** Whether requests have their prefix as affinity key, and whether load bounds the affinity. */
  readonly policy: 'two choices' | 'affinity' | 'affinity without bound'
  readonly servers?: number
  /** Prefixes that the cache of a server holds. */
  readonly cached?: number
  readonly prefixes?: number
  /** Mean number of requests in flight over all servers. */
  readonly inFlight?: number
  readonly requests?: number
  readonly seed?: number
}

/** `hits` is the share of requests whose prefix was cached at their server. */
interface ChoiceOutcome { readonly hits: number, /** Mean over time of the highest load divided by the mean load. */ readonly unevenness: number }

/** Simulates requests with Zipf-distributed prefixes and servers with LRU caches. A request is in flight for about `inFlight` arrivals. */
export function simulateChoice ({ policy, servers = 8, cached = 40, prefixes = 200, inFlight = 64, requests = 20_000, seed = 1 }: ChoiceOptions): ChoiceOutcome {
  const random = new Random(seed)
  const names = Array.from({ length: servers }, (_, i) => `server-${i}`)
  const loads = new Map(names.map(name => [name, 0]))
  const caches = new Map(names.map(name => [name, [] as number[]]))
  const ends: { readonly at: number, readonly name: string }[] = []
  const weights = Array.from({ length: prefixes }, (_, i) => 1 / (i + 1))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let hits = 0
  let unevenness = 0
  for (let now = 0; now < requests; now++) {
    for (let i = ends.length - 1; i >= 0; i--) if (ends[i]!.at <= now) loads.set(ends[i]!.name, loads.get(ends.splice(i, 1)[0]!.name)! - 1)
    const prefix = drawPrefix(weights, total, random)
    const view = names.map((name): BackendServer => {
      const load = policy === 'affinity without bound' ? 0 : loads.get(name)!
      return { name, pool: 'pool', failureDomain: name, version: '', url: '', leaving: false, inFlight: load, load, limit: Infinity }
    })
    const { name } = chooseServer(view, { random, limit: Infinity, key: policy === 'two choices' ? undefined : `prefix-${prefix}` })!
    const cache = caches.get(name)!
    if (cache.includes(prefix)) hits++
    caches.set(name, [prefix, ...cache.filter(other => other !== prefix)].slice(0, cached))
    loads.set(name, loads.get(name)! + 1)
    ends.push({ at: now + inFlight * (0.5 + random.next()), name })
    const all = [...loads.values()]
    unevenness += Math.max(...all) / (all.reduce((sum, load) => sum + load, 0) / servers)
  }
  return { hits: hits / requests, unevenness: unevenness / requests }
}

function drawPrefix (weights: readonly number[], total: number, random: Random): number {
  let left = random.next() * total
  return Math.max(0, weights.findIndex(weight => (left -= weight) <= 0))
}
