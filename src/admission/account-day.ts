import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'

/** One shard of a day's sums: the callers whose hash falls into it. */
export interface AccountDay {
  /** YYYY-MM-DD, UTC. */
  readonly day: string
  readonly shard: number
  readonly rows: AccountRows
  /** Of the parts whose own hash falls into it. */
  readonly times: AccountTimes
  /** Names of the parts that are in the sums, so that none is added twice. */
  readonly folded: readonly string[]
  /** Of the parts whose own hash falls into it, by name: the `sample` of the state that is in the sums. */
  readonly samples?: Readonly<Record<string, number>>
  /** Online requests that folded parts which were never closed may lack. */
  readonly mayMiss: number
}
