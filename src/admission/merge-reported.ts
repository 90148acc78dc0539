import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'

type Parts = Readonly<Record<string, AccountPart>>

interface MergedParts {
  /** The platform's parts with what daemons told in their place where that is newer. */
  readonly parts: Parts
  /** Parts that lack nothing. */
  readonly fresh: ReadonlySet<string>
}

/**
 * Puts what daemons have told of their parts in place of what the platform has. Told counts are whole counts of their
 * rows, not additions: what was flushed between question and read stands in both, and the higher number wins, so that
 * no order of events counts it twice. Two kinds of parts are left as the platform has them, and said to lack some: one
 * that it has closed with less than was told, and one that was folded, because their run goes on in the next part with
 * what they lack, and that may have been read as well.
 *
 * The question must be asked before the platform is read: of a run that begins a new part in between, what is told is
 * older, and what is read has all of it.
 */
export function mergeReported (read: Parts, days: readonly AccountDay[], reported: Parts): MergedParts {
  const folded = new Set(days.flatMap(day => day.folded))
  const parts: Record<string, AccountPart> = { ...read }
  const fresh = new Set<string>()
  for (const [name, part] of Object.entries(reported)) {
    const known = read[name]
    if (known !== undefined && known.sample >= part.sample) fresh.add(name)
    else if (known?.closed === true || folded.has(name)) parts[name] = { ...(known ?? { ...part, rows: {}, times: {} }), closed: false }
    else {
      parts[name] = { ...part, rows: { ...known?.rows, ...part.rows }, times: { ...known?.times, ...part.times } }
      fresh.add(name)
    }
  }
  return { parts, fresh }
}
