interface PoolView {
  /** The default version of the pool; undefined if none is set. */
  readonly current: string | undefined
  /** Whether the store says that streams of the pool may have no record. */
  readonly isWithdrawn: boolean
  /** Versions of the servers that are there, or were seconds ago. */
  readonly listed: readonly string[]
  /** Whether a record is in the store by the time at which the first event of its stream is due. */
  readonly isRecordedInTime: boolean
}

/**
 * Whether the store must say that the pool has no default: because no server has the default version, or there are several versions and no
 * default, or streams of the others would wait for their records, as in a large fleet. New streams begin at other versions then, also without a
 * record in the store; without one they could go on at the default.
 *
 * @example
 * isWithdrawalDue({ current: 'v1', isWithdrawn: false, listed: ['v2'], isRecordedInTime: true }) // true
 */
export function isWithdrawalDue ({ current, isWithdrawn, listed, isRecordedInTime }: PoolView): boolean {
  if (current !== undefined) return isRecordedInTime ? listed.length > 0 && !listed.includes(current) : listed.some(version => version !== current)
  return !isWithdrawn && listed.length > 1
}
