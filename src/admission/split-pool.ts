import type { PoolDemand } from './pool-demand.js'
import type { PoolPart } from './pool-part.js'

/**
 * Arrivals come in clumps: of the places asked for on average, these many square roots more are needed at times. What
 * is not used is lent.
 */
const CLUMP = 1.5

interface Asked { readonly caller: string, readonly share: number, readonly places: number }

/**
 * Splits a pool's places among daemons by what callers ask through each. First among callers, by weighted max-min: who
 * asks for less than its share gets that, and the others share the rest by their shares. Then each caller's places
 * among daemons, in proportion to what it asks there. Even parts give a caller what its daemons happen to have: one that
 * uses a single daemon, and shares it, got a third of what it was entitled to.
 *
 * Source: max-min fairness, Bertsekas and Gallager, "Data Networks", 1992, section 6.5.
 */
export function splitPool (demands: ReadonlyMap<string, PoolDemand>, places: number): ReadonlyMap<string, PoolPart> {
  const asked = mergeDemands(demands)
  const granted = grantShares(asked, places)
  const total = new Map(asked.map(({ caller, places }) => [caller, places]))
  const spare = Math.max(0, places - [...granted.values()].reduce((sum, each) => sum + each, 0)) / demands.size
  return new Map([...demands].map(([daemon, demand]): [string, PoolPart] => {
    const own = [...demand].filter(([, { places }]) => places > 0).map(([caller, asked]) => ({ caller, part: estimateNeed(asked.places) / total.get(caller)! }))
    return [daemon, {
      fraction: (spare + own.reduce((sum, { caller, part }) => sum + granted.get(caller)! * part, 0)) / places,
      factors: new Map(own.map(({ caller, part }) => [caller, part * demands.size]))
    }]
  }))
}

function mergeDemands (demands: ReadonlyMap<string, PoolDemand>): readonly Asked[] {
  const sums = new Map<string, Asked>()
  for (const demand of demands.values()) {
    for (const [caller, { share, places }] of demand) if (places > 0) sums.set(caller, { caller, share, places: estimateNeed(places) + (sums.get(caller)?.places ?? 0) })
  }
  return [...sums.values()]
}

function estimateNeed (places: number): number {
  return places + CLUMP * Math.sqrt(places)
}

/** Weighted max-min: the callers who ask for least by their share are served first, and leave the rest to the others. */
function grantShares (asked: readonly Asked[], places: number): ReadonlyMap<string, number> {
  const granted = new Map<string, number>()
  let left = places
  let shares = asked.reduce((sum, { share }) => sum + share, 0)
  for (const { caller, share, places: wants } of [...asked].sort((a, b) => a.places / a.share - b.places / b.share)) {
    const grant = Math.min(wants, left * share / shares)
    granted.set(caller, grant)
    left -= grant
    shares -= share
  }
  return granted
}
