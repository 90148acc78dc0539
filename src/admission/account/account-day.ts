import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/** One shard of the totals of a day: the callers whose hash falls into it. */
export interface AccountDay {
  /** YYYY-MM-DD, UTC. */
  readonly day: string
  readonly shard: number
  readonly rows: AccountRows
  /** Of the parts whose name hashes to this shard. */
  readonly times: AccountTimes
  /** Names of the parts that are in the totals, so that none is added twice. */
  readonly folded: readonly string[]
  /** By name, of the parts whose name hashes to this shard: the `sample` of the state that is in the totals. */
  readonly samples?: Readonly<Record<string, number>>
  /** Online requests that may be missing from folded parts which their runs never closed, at most. */
  readonly mayMiss: number
}
