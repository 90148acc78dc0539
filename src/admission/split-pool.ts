import type { PoolDemand } from './pool-demand.js'
import type { PoolAllocation } from './pool-allocation.js'

/**
 * Arrivals come in clumps: of the places asked for on average, these many square roots more are needed at times. What
 * is not used is lent.
 */
const CLUMP = 1.5

/** Of what it is granted, the most that a caller that asks for more than its share leaves to the clumps of the others. */
const LEFT = 0.5

/** `mean` is what is asked for on average, `places` what is needed at times. */
interface Asked { readonly key: string, readonly share: number, readonly mean: number, readonly places: number }

/**
 * Splits a pool's places among daemons by what callers ask through each. First among callers, by weighted max-min: who
 * asks for less than its share gets that, and the others share the rest by their shares. Then each caller's places
 * among daemons, in proportion to what it asks there. Even parts give a caller what its daemons happen to have: one that
 * uses a single daemon, and shares it, got a third of what it was entitled to.
 *
 * A caller within its share may need more than the share for a moment at one daemon, and what is lent comes too late for
 * that: counts of others are old by then. So it gets the places of its clumps from those who ask for more than their
 * shares, who miss nothing: what isn't used of them is lent to them at once.
 *
 * Source: max-min fairness, Bertsekas and Gallager, "Data Networks", 1992, section 6.5.
 */
export function splitPool (demands: ReadonlyMap<string, PoolDemand>, places: number): ReadonlyMap<string, PoolAllocation> {
  const rows = listAsked(demands)
  const asked = mergeAsked(rows)
  const granted = grantClumps([...asked.values()], grantShares([...asked.values()], places))
  const spare = Math.max(0, places - [...granted.values()].reduce((sum, each) => sum + each, 0)) / demands.size
  return new Map([...demands.keys()].map((daemon): [string, PoolAllocation] => {
    const own = rows.filter(row => row.daemon === daemon).map(({ key, caller, places }) => ({ key, caller, part: places / asked.get(key)!.places }))
    return [daemon, {
      fraction: (spare + own.reduce((sum, { key, part }) => sum + granted.get(key)! * part, 0)) / places,
      factors: new Map(own.filter(({ caller }) => caller !== '').map(({ caller, part }) => [caller, part * demands.size]))
    }]
  }))
}

/** Those not named are held for others at each daemon, and each for one that uses all daemons alike. */
function listAsked (demands: ReadonlyMap<string, PoolDemand>): readonly (Asked & { readonly daemon: string, readonly caller: string })[] {
  return [...demands].flatMap(([daemon, demand]) => [...demand].filter(([, { places }]) => places > 0).map(([caller, { share, places }]) => ({
    daemon,
    caller,
    key: caller === '' ? `\0${daemon}` : caller,
    share: caller === '' ? share / demands.size : share,
    mean: places,
    places: caller === '' ? places : places + CLUMP * Math.sqrt(places)
  })))
}

function mergeAsked (rows: readonly Asked[]): ReadonlyMap<string, Asked> {
  const sums = new Map<string, Asked>()
  for (const { key, share, mean, places } of rows) {
    const sum = sums.get(key)
    sums.set(key, { key, share, mean: mean + (sum?.mean ?? 0), places: places + (sum?.places ?? 0) })
  }
  return sums
}

/** Weighted max-min: the callers who ask for least by their share are served first, and leave the rest to the others. */
function grantShares (asked: readonly Asked[], places: number): ReadonlyMap<string, number> {
  const granted = new Map<string, number>()
  let left = places
  let shares = asked.reduce((sum, { share }) => sum + share, 0)
  for (const { key, share, places: wants } of [...asked].sort((a, b) => a.places / a.share - b.places / b.share)) {
    const grant = Math.min(wants, left * share / shares)
    granted.set(key, grant)
    left -= grant
    shares -= share
  }
  return granted
}

/** Moves places from callers that ask for more than they are granted to those whose clumps go beyond theirs. */
function grantClumps (asked: readonly Asked[], granted: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const rows = asked.map(({ key, mean, places }) => {
    const own = granted.get(key)!
    return mean > own ? { key, own, leaves: Math.min(LEFT * own, mean - own), lacks: 0 } : { key, own, leaves: 0, lacks: Math.max(0, places - own) }
  })
  const leaves = rows.reduce((sum, row) => sum + row.leaves, 0)
  const lacks = rows.reduce((sum, row) => sum + row.lacks, 0)
  const moved = Math.min(leaves, lacks)
  if (moved === 0) return granted
  return new Map(rows.map(row => [row.key, row.own + moved * (row.lacks / lacks - row.leaves / leaves)]))
}
