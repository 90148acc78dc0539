/** Splits values, in order, into groups whose total size is at most `limit`. A value larger than `limit` is a group of its own. */
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
