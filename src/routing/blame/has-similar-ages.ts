import type { PartLoss } from './part-loss.js'

/** By how much the longest age may exceed the shortest: a factor, and ms. */
const LIMITS = { similar: { factor: 2, difference: 50 }, equal: { factor: 1.2, difference: 10 } } as const

/**
 * Whether a run at each server was lost after a similar time, as where a part crashes the server that begins to answer it. Of several runs
 * at one server the earliest or a later one may have crashed it.
 */
export function hasSimilarAges (losses: readonly PartLoss[], how: keyof typeof LIMITS): boolean {
  const { factor, difference } = LIMITS[how]
  const least = losses.map(({ at, began }) => Math.max(0, at - began))
  const most = losses.map(({ at, first }) => Math.max(0, at - first))
  return Math.max(...least) <= factor * Math.min(...most) + difference
}
