import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'
import type { AccountRows } from './account-rows.js'
import type { AccountTimes } from './account-times.js'
import { addTimes } from './add-times.js'
import { estimateMissing } from './estimate-missing.js'
import { findShard } from './find-shard.js'
import { mergeRows } from './merge-rows.js'
import type { MergedAccount } from './merged-account.js'

interface MergeOptions {
  /** By name. */
  readonly parts: Readonly<Record<string, AccountPart>>
  readonly days: readonly AccountDay[]
  /** Names of open parts that lack nothing, because their runs have just reported their counts. */
  readonly completeParts?: ReadonlySet<string>
  /** First and last day to count, as YYYY-MM-DD. */
  readonly since?: string
  readonly until?: string
  readonly caller?: string
}

/** Adds up parts and days, each part once: a part that is being folded is in both, shard by shard. */
export function mergeAccount ({ parts, days, completeParts = new Set(), since = '', until = '9', caller }: MergeOptions): MergedAccount {
  const counted = days.filter(({ day }) => day >= since && day <= until)
  const open = Object.entries(parts).filter(([, { day }]) => day >= since && day <= until)
  const rows = counted.map(day => day.rows)
  let times: AccountTimes = counted.reduce((sum, day) => addTimes(sum, day.times), {})
  const missing: number[] = []
  const runs: string[] = []
  const gap = Math.max(0, ...open.map(([, { longestGap }]) => longestGap))
  for (const [name, part] of open) {
    const folded = findFolded(name, part, counted)
    rows.push(folded.size === 0 ? part.rows : Object.fromEntries(Object.entries(part.rows).filter(([key]) => !folded.has(findShard(key)))))
    const isFolded = folded.has(findShard(name))
    if (!isFolded) times = addTimes(times, part.times)
    // If other daemons have closed the part, its day already includes the bound.
    const missed = completeParts.has(name) || (isFolded && part.closed) ? 0 : estimateMissing(part, gap)
    if (missed === 0) continue
    missing.push(missed)
    runs.push(name)
  }
  const asked = [...missing, ...counted.map(({ mayMiss }) => mayMiss)].reduce((sum, missed) => sum + missed, 0)
  return { rows: filterCaller(mergeRows(rows), caller), times, mayMiss: { asked, runs }, whole: true }
}

function findFolded (name: string, { day }: AccountPart, days: readonly AccountDay[]): ReadonlySet<number> {
  return new Set(days.filter(other => other.day === day && other.folded.includes(name)).map(({ shard }) => shard))
}

function filterCaller (rows: AccountRows, caller: string | undefined): AccountRows {
  if (caller === undefined) return rows
  return Object.fromEntries(Object.entries(rows).filter(([key]) => key.startsWith(`${caller}/`)))
}
