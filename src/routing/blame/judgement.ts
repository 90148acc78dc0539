import type { PartVerdict } from './part-verdict.js'

/** How a request is treated, by its parts. */
export interface Judgement {
  readonly verdict: PartVerdict
  /** The part with that verdict; undefined if all are clear. */
  readonly part?: string
  /** Whether no trial may begin: the part is about to be refused, unless passes turn up. */
  readonly isPending?: boolean
  /** Whether a request that gets no trial is refused rather than kept waiting: several servers were lost, and the part didn't pass for long. */
  readonly isLikely?: boolean
}
