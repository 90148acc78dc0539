import type { PoolDemand } from './pool-demand.js'
import type { PoolPart } from './pool-part.js'

/**
 * Arrivals come in clumps: of the places asked for on average, these many square roots more are needed at times. What
 * is not used is lent.
 */
const CLUMP = 1.5

interface Asked { readonly key: string, readonly share: number, readonly places: number }

/**
 * Splits a pool's places among daemons by what callers ask through each. First among callers, by weighted max-min: who
 * asks for less than its share gets that, and the others share the rest by their shares. Then each caller's places
 * among daemons, in proportion to what it asks there. Even parts give a caller what its daemons happen to have: one that
 * uses a single daemon, and shares it, got a third of what it was entitled to.
 *
 * Source: max-min fairness, Bertsekas and Gallager, "Data Networks", 1992, section 6.5.
 */
export function splitPool (demands: ReadonlyMap<string, PoolDemand>, places: number): ReadonlyMap<string, PoolPart> {
  const rows = listAsked(demands)
  const asked = mergeAsked(rows)
  const granted = grantShares([...asked.values()], places)
  const spare = Math.max(0, places - [...granted.values()].reduce((sum, each) => sum + each, 0)) / demands.size
  return new Map([...demands.keys()].map((daemon): [string, PoolPart] => {
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
    places: caller === '' ? places : places + CLUMP * Math.sqrt(places)
  })))
}

function mergeAsked (rows: readonly Asked[]): ReadonlyMap<string, Asked> {
  const sums = new Map<string, Asked>()
  for (const { key, share, places } of rows) sums.set(key, { key, share, places: places + (sums.get(key)?.places ?? 0) })
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
