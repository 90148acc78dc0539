import type { PoolDemand } from './pool-demand.js'
import type { PoolAllocation } from './pool-allocation.js'

/** Requests arrive in bursts: beyond the mean demand, this many square roots of it are needed at times. Unused slots are lent out. */
const BURST_FACTOR = 1.5

/** Largest fraction of its grant that a caller with a demand above its share cedes to the bursts of others. */
const MAX_CEDED = 0.5

/** Demand in slots: `mean` on average, `peak` in a burst. */
interface CallerDemand { readonly key: string, readonly share: number, readonly mean: number, readonly peak: number }

/**
 * Splits the capacity of a pool among daemons by the demand of callers at each. First among callers, by weighted max-min
 * fairness: a caller that demands less than its share gets its demand, and the others divide the rest by their shares. Then the
 * grant of each caller among daemons, in proportion to its demand there. Even parts would limit a caller that uses a single
 * daemon to a share of that daemon's part.
 *
 * A caller within its share may briefly need more than its share at one daemon. Lending is too slow for that, because a
 * daemon's counts of the others are outdated by then. So the slots for such bursts are ceded by callers that demand more than
 * their shares. These lose nothing, as unused slots are lent to them at once.
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

/** The unnamed callers of a daemon count as one caller, with its share divided as if it used all daemons alike. */
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

/**
 * Grants slots by weighted max-min fairness: callers with the lowest demand for their share are served first, and what they
 * leave goes to the others.
 */
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

/** Moves slots from callers with a mean demand above their grant to callers whose bursts exceed theirs. */
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
