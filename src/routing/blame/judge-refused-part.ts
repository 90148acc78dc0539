import type { PartDecision } from './part-decision.js'

interface RefusedPartInputs {
  readonly part: string
  readonly isItem: boolean
  /** End of the refusal, monotonic ms. */
  readonly until: number
  /** From when on items may try the part, monotonic ms, and how many at once in the whole fleet. */
  readonly trials: { readonly from: number, readonly limit: number }
  /** Whether one more trial in the fleet may begin here; called only if it is needed, since it may ask for it. */
  readonly mayBegin: () => boolean
  /** Until when another daemon is taken to try the part without a grant, monotonic ms. */
  readonly begunUntil: number
  readonly now: number
}

/** Decides whether a request with a refused part may run: only items do, as trials of the part. Where another daemon holds the trial, the wait counts from when trials may begin. */
export function judgeRefusedPart ({ part, isItem, until, trials: { from, limit }, mayBegin, begunUntil, now }: RefusedPartInputs): PartDecision {
  const refused: PartDecision = { type: 'refused', part, left: until - now }
  if (!isItem) return refused
  if (now < from) return { ...refused, left: Math.min(from, until) - now }
  return mayBegin() ? { type: 'clear', trial: part, limit } : { type: 'wait', part, lostAt: from, begunUntil, isRefused: true }
}
