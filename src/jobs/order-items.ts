/** An item that could run now, with the monotonic ms by which its job is due. */
interface Due { readonly due: number }

/**
 * The order in which waiting items start: the earliest due first among those that can still be in time, then those that
 * are late. A late item is worth little whenever it ends; run first, as plain deadline order would have it, a backlog
 * makes each job after it late too.
 */
export function orderItems<T extends Due> (items: readonly T[], now: number): readonly T[] {
  return [...items].sort((a, b) => Number(a.due < now) - Number(b.due < now) || a.due - b.due)
}
