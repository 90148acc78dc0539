interface PoolView {
  /** The default version of the pool; undefined if none is set. */
  readonly current: string | undefined
  /** Whether the store says that streams of the pool may have no record. */
  readonly isWithdrawn: boolean
  /** Versions of the servers that are there, or were seconds ago. */
  readonly listed: readonly string[]
}

/**
 * Whether the store must say that the pool has no default: because no server has the default version, or there are several versions and no
 * default. New streams begin at other versions then, also while the store can't record them; without a record they could go on at the default
 * once it is back.
 *
 * @example
 * isWithdrawalDue({ current: 'v1', isWithdrawn: false, listed: ['v2'] }) // true
 */
export function isWithdrawalDue ({ current, isWithdrawn, listed }: PoolView): boolean {
  if (current !== undefined) return listed.length > 0 && !listed.includes(current)
  return !isWithdrawn && listed.length > 1
}
