/** Splits values, in their order, into groups whose sizes add up to at most `limit`; a larger value is a group of its own. */
export function splitBySize<T> (values: readonly T[], measure: (value: T) => number, limit: number): ReadonlyArray<readonly T[]> {
  const groups: T[][] = []
  let size = Infinity
  for (const value of values) {
    const own = measure(value)
    if (size + own > limit) {
      groups.push([])
      size = 0
    }
    groups.at(-1)!.push(value)
    size += own
  }
  return groups
}
