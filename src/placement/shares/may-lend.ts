/** Size from which a request counts as long, as a multiple of the mean size. */
const LONG = 2
/** Share of the slots that long requests of callers beyond their share leave free. */
const HEADROOM = 0.06

interface Loan {
  /** Size of the request, and mean size of the pool's requests. */
  readonly size: number
  readonly meanSize: number
  /** Slots that no online request holds, and all slots. */
  readonly free: number
  readonly slots: number
}

/**
 * Decides whether a caller that has had its share is lent one of the free slots. A short request gives it back before it is missed. Long
 * ones leave some free: if they held every slot, the others' arrivals would depend on the few slots that long requests give back.
 *
 * Load pattern: a caller sends many times its usual, with requests several times as long as those of the others.
 */
export function mayLend ({ size, meanSize, free, slots }: Loan): boolean {
  return size < LONG * meanSize || free > HEADROOM * slots
}
