const SMALL_FLEET = 4 // daemons
/** Large enough that brokers grant the slots; smaller fleets exchange their in-flight counts directly. */
const LARGE_FLEET = 14
const LARGE_EVERY = 3

/** Returns the number of daemons in a seed's fleet; every third seed has a large fleet. */
export function countDaemons (seed: number): number {
  return seed % LARGE_EVERY === 0 ? LARGE_FLEET : SMALL_FLEET
}
