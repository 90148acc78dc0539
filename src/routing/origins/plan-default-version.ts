/** A pool's default and the versions that its servers have had of late. */
interface PoolView {
  /** The version of streams without a record; undefined if none is set. */
  readonly current: string | undefined
  /** Whether streams of the pool may have no record and have begun at any version. */
  readonly isWithdrawn?: boolean
  /** Versions of servers whose streams may still be resumed. */
  readonly recent: readonly string[]
  /** Whether `recent` covers all of the time for which a stream may be resumed. */
  readonly isWholeTimeKnown: boolean
}

/**
 * Returns the version to make a pool's default; undefined to leave it. Only a version that is alone becomes one, and only once no stream of
 * the former one can be resumed: without a record it would go on at the new one.
 *
 * @example
 * planDefaultVersion({ current: 'v1', recent: ['v2'], isWholeTimeKnown: true }) // 'v2'
 */
export function planDefaultVersion ({ current, isWithdrawn = false, recent, isWholeTimeKnown }: PoolView): string | undefined {
  const [only] = recent
  return recent.length === 1 && only !== current && ((current === undefined && !isWithdrawn) || isWholeTimeKnown) ? only : undefined
}
