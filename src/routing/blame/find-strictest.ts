/** From when on items may try a refused part, monotonic ms, and how many at once at this daemon. */
interface Trials { readonly from: number, readonly limit: number }

/**
 * Finds the refused part by which an item with several must wait longest, or of which the fewest may be tried at once.
 *
 * @example
 * findStrictest([{ part: 'a', from: 0, limit: 4 }, { part: 'b', from: 9_000, limit: 1 }], 5_000) // { part: 'b', from: 9_000, limit: 1 }
 */
export function findStrictest<T extends Trials> (all: readonly T[], now: number): T | undefined {
  return [...all].sort((a, b) => Math.max(b.from, now) - Math.max(a.from, now) || a.limit - b.limit)[0]
}
