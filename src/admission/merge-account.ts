import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'
import type { AccountRows } from './account-rows.js'
import { addRows } from './add-rows.js'
import { estimateMissing } from './estimate-missing.js'
import { findShard } from './find-shard.js'
import type { MergedAccount } from './merged-account.js'
import { showDay } from './show-day.js'

interface MergeOptions {
  /** By name. */
  readonly parts: Readonly<Record<string, AccountPart>>
  readonly days: readonly AccountDay[]
  /** The run that has just been flushed and lacks nothing. */
  readonly fresh?: { readonly instance: string, readonly started: number }
  /** First day to count, as YYYY-MM-DD. */
  readonly since?: string
  readonly caller?: string
}

/** Adds up parts and days, each part once: one that is being folded stands in both, shard by shard. */
export function mergeAccount ({ parts, days, fresh, since = '', caller }: MergeOptions): MergedAccount {
  const counted = days.filter(({ day }) => day >= since)
  const open = Object.entries(parts).filter(([, { flushedAt }]) => showDay(flushedAt) >= since)
  let rows: AccountRows = {}
  for (const day of counted) rows = addRows(rows, day.rows)
  for (const [name, part] of open) rows = addRows(rows, keepUnfolded(name, part, days))
  const gap = Math.max(0, ...open.map(([, { longestGap }]) => longestGap))
  const missing = open.filter(([, { closed, instance, started }]) => !closed && !(instance === fresh?.instance && started === fresh.started))
  const asked = missing.reduce((sum, [, part]) => sum + estimateMissing(part, gap), 0) + counted.reduce((sum, { mayMiss }) => sum + mayMiss, 0)
  return { rows: keepCaller(rows, caller), mayMiss: { asked, runs: missing.map(([name]) => name) }, whole: true }
}

function keepUnfolded (name: string, { rows, flushedAt }: AccountPart, days: readonly AccountDay[]): AccountRows {
  const day = showDay(flushedAt)
  const done = new Set(days.filter(other => other.day === day && other.folded.includes(name)).map(({ shard }) => shard))
  return Object.fromEntries(Object.entries(rows).filter(([key]) => !done.has(findShard(key))))
}

function keepCaller (rows: AccountRows, caller: string | undefined): AccountRows {
  if (caller === undefined) return rows
  return Object.fromEntries(Object.entries(rows).filter(([key]) => key.startsWith(`${caller}/`)))
}
