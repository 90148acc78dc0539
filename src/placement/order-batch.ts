/** An item, or the first of a daemon's, that could run now. Times in ms. */
interface Runnable {
  /** When its job is due, monotonic. */
  readonly due: number
  /** How much longer it would run. */
  readonly remaining: number
}

/**
 * The order in which waiting items start, and from whose end running ones are stopped.
 *
 * Load pattern: slots that come and go with waves of online requests, for more items than there are slots. Those that can still
 * be in time go first, the earliest due before the others, and of those due at once the one with least left: where all items of
 * a job advance a little each, none has ended when its daemon does or when the job is due. Then the late ones, least
 * left first; a late item is worth little whenever it ends, and run first a backlog makes each job after it late too.
 */
export function orderBatch<T extends Runnable> (items: readonly T[], now: number): readonly T[] {
  const isLate = ({ due, remaining }: T): boolean => now + remaining > due
  return [...items].sort((a, b) => {
    const late = Number(isLate(a)) - Number(isLate(b))
    if (late !== 0) return late
    return isLate(a) ? a.remaining - b.remaining : a.due - b.due || a.remaining - b.remaining
  })
}
