/** An item that could run now, or a daemon's bid for its first one. Times in ms. */
interface Runnable {
  /** Due time of its job, monotonic. */
  readonly due: number
  /** Estimated time that it still has to run. */
  readonly remaining: number
}

/**
 * Sorts items into the order in which they start; running items are stopped from the end of that order.
 *
 * Items that can still finish in time go first, by due time. Among equal due times the one with the least remaining work goes
 * first: if all items of a job advanced evenly, none would be finished when its daemon stops or when the job is due. Late items
 * follow, least remaining work first; if they ran first, a backlog would make every later job late as well.
 */
export function orderBatch<T extends Runnable> (items: readonly T[], now: number): readonly T[] {
  const isLate = ({ due, remaining }: T): boolean => now + remaining > due
  return [...items].sort((a, b) => {
    const late = Number(isLate(a)) - Number(isLate(b))
    if (late !== 0) return late
    return isLate(a) ? a.remaining - b.remaining : a.due - b.due || a.remaining - b.remaining
  })
}
