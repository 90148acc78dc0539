import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'

type Parts = Readonly<Record<string, AccountPart>>

interface MergedParts {
  /** The stored parts, replaced by reported ones where these are newer. */
  readonly parts: Parts
  /** Parts that lack nothing. */
  readonly completeParts: ReadonlySet<string>
}

/**
 * Replaces stored parts by what daemons have reported of them. Reported counts are totals of their rows and not increments:
 * counts that were flushed between query and read are in both, and the higher `sample` wins, so that none is counted twice. Two
 * kinds of parts are kept as stored and marked as incomplete: a part that was closed with less than was reported, and a part
 * that was folded. Their runs continue in the next part with what they lack, and that part may have been read as well.
 *
 * Daemons must be queried before the platform is read: if a run begins a new part in between, the report is older and the read
 * is complete.
 */
export function mergeReported (read: Parts, days: readonly AccountDay[], reported: Parts): MergedParts {
  const folded = new Set(days.flatMap(day => day.folded))
  const parts: Record<string, AccountPart> = { ...read }
  const completeParts = new Set<string>()
  for (const [name, part] of Object.entries(reported)) {
    const known = read[name]
    if (known !== undefined && known.sample >= part.sample) completeParts.add(name)
    else if (known?.closed === true || folded.has(name)) parts[name] = { ...(known ?? { ...part, rows: {}, times: {} }), closed: false }
    else {
      parts[name] = { ...part, rows: { ...known?.rows, ...part.rows }, times: { ...known?.times, ...part.times } }
      completeParts.add(name)
    }
  }
  return { parts, completeParts }
}
