/** All of a tally. */
export function countTally (tally: Readonly<Record<string, number>>): number {
  return Object.values(tally).reduce((sum, count) => sum + count, 0)
}
