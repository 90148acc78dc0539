import type { PoolDemand } from './pool-demand.js'
import type { PoolAllocation } from './pool-allocation.js'

/**
 * Arrivals come in clumps: of the places asked for on average, these many square roots more are needed at times. What
 * is not used is lent.
 */
const BURST_FACTOR = 1.5

/** Of what it is granted, the most that a caller that asks for more than its share leaves to the clumps of the others. */
const MAX_CEDED = 0.5

/** `mean` is what is asked for on average, `places` what is needed at times. */
interface CallerDemand { readonly key: string, readonly share: number, readonly mean: number, readonly peak: number }

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
export function splitPool (demands: ReadonlyMap<string, PoolDemand>, capacity: number): ReadonlyMap<string, PoolAllocation> {
  const rows = listDemands(demands)
  const asked = mergeDemands(rows)
  const granted = grantBursts([...asked.values()], grantShares([...asked.values()], capacity))
  const spare = Math.max(0, capacity - [...granted.values()].reduce((sum, each) => sum + each, 0)) / demands.size
  return new Map([...demands.keys()].map((daemon): [string, PoolAllocation] => {
    const own = rows.filter(row => row.daemon === daemon).map(({ key, caller, peak }) => ({ key, caller, part: peak / asked.get(key)!.peak }))
    return [daemon, {
      fraction: (spare + own.reduce((sum, { key, part }) => sum + granted.get(key)! * part, 0)) / capacity,
      factors: new Map(own.filter(({ caller }) => caller !== '').map(({ caller, part }) => [caller, part * demands.size]))
    }]
  }))
}

/** Those not named are held for others at each daemon, and each for one that uses all daemons alike. */
function listDemands (demands: ReadonlyMap<string, PoolDemand>): readonly (CallerDemand & { readonly daemon: string, readonly caller: string })[] {
  return [...demands].flatMap(([daemon, demand]) => [...demand].filter(([, { slots }]) => slots > 0).map(([caller, { share, slots }]) => ({
    daemon,
    caller,
    key: caller === '' ? `\0${daemon}` : caller,
    share: caller === '' ? share / demands.size : share,
    mean: slots,
    peak: caller === '' ? slots : slots + BURST_FACTOR * Math.sqrt(slots)
  })))
}

function mergeDemands (rows: readonly CallerDemand[]): ReadonlyMap<string, CallerDemand> {
  const sums = new Map<string, CallerDemand>()
  for (const { key, share, mean, peak } of rows) {
    const sum = sums.get(key)
    sums.set(key, { key, share, mean: mean + (sum?.mean ?? 0), peak: peak + (sum?.peak ?? 0) })
  }
  return sums
}

/** Weighted max-min: the callers who ask for least by their share are served first, and leave the rest to the others. */
function grantShares (asked: readonly CallerDemand[], capacity: number): ReadonlyMap<string, number> {
  const granted = new Map<string, number>()
  let left = capacity
  let shares = asked.reduce((sum, { share }) => sum + share, 0)
  for (const { key, share, peak } of [...asked].sort((a, b) => a.peak / a.share - b.peak / b.share)) {
    const grant = Math.min(peak, left * share / shares)
    granted.set(key, grant)
    left -= grant
    shares -= share
  }
  return granted
}

/** Moves places from callers that ask for more than they are granted to those whose clumps go beyond theirs. */
function grantBursts (asked: readonly CallerDemand[], granted: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const rows = asked.map(({ key, mean, peak }) => {
    const own = granted.get(key)!
    return mean > own ? { key, own, cedes: Math.min(MAX_CEDED * own, mean - own), needs: 0 } : { key, own, cedes: 0, needs: Math.max(0, peak - own) }
  })
  const ceded = rows.reduce((sum, row) => sum + row.cedes, 0)
  const needed = rows.reduce((sum, row) => sum + row.needs, 0)
  const moved = Math.min(ceded, needed)
  if (moved === 0) return granted
  return new Map(rows.map(row => [row.key, row.own + moved * (row.needs / needed - row.cedes / ceded)]))
}
