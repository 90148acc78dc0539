const SMALL_FLEET = 4
/** More than tell one another their counts straight: brokers give the slots. */
const LARGE_FLEET = 14
const LARGE_EVERY = 3

/** Daemons of a seed's fleet: every third has a larger one. */
export function countDaemons (seed: number): number {
  return seed % LARGE_EVERY === 0 ? LARGE_FLEET : SMALL_FLEET
}
