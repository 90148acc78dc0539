import { countMoments } from './count-moments.js'
import { countSequential } from './count-sequential.js'
import { hasEqualAges } from './has-equal-ages.js'
import { hasSimilarAges } from './has-similar-ages.js'
import type { PartEvidence } from './part-evidence.js'
import type { PartLoss } from './part-loss.js'
import type { PartVerdict } from './part-verdict.js'
import { isConspicuous } from './is-conspicuous.js'

/** Losses that followed one another, from which a part is refused that never passed, while no other passes either. */
const LONG_SEQUENCE = 5
/** Fewer of them suffice with so many moments of losses or such a sequence, and at fewer moments if the runs were lost after similar times. */
const SHORT_SEQUENCE = 2
const MOMENTS_OF_SHORT_SEQUENCE = 4
const MOMENTS_OF_SIMILAR_AGES = 3
/** Losses from which moments don't matter, if all runs were lost after nearly the same time. */
const LOSSES_OF_EQUAL_AGES = 4
/** Probability that a sound part was in flight at as many losses, up to which other times are held against one that never passed. */
const MAX_CHANCE_WITHOUT_PASS = 0.1
/** Losses that followed one another, from which a part that passes now and then is refused. */
const SEQUENCE_WITH_PASSES = 3
/** Moments of losses from which it is refused if the runs were lost after similar times. */
const MOMENTS_WITH_PASSES = 4
/** Passes for each moment of losses up to which a part crashes servers often. */
const MAX_PASSES_OF_OFTEN = 2
/** Share of all moments of losses that one which passes must have been in flight at, if its runs were lost after equal times. */
const MIN_SHARE = 0.7
/** Probability that a sound part was in flight at as many losses, up to which one that passes now and then is refused, if its runs were lost after equal times and else, and is suspect. */
const MAX_CHANCE_OF_EQUAL_AGES = 0.04
const MAX_CHANCE = 0.001
const MAX_CHANCE_OF_OTHER_AGES = 0.00001
const MAX_CHANCE_OF_SUSPECT = 0.1
const MAX_CHANCE_OF_SUSPECT_AGES = 0.3
/** Moments of losses from which a part that never passed runs once at a time: while other parts pass, and while none does yet; and one that passes now and then. */
const SUSPECT_MOMENTS = 1
const FIRST_SUSPECT_MOMENTS = 2
const SUSPECT_MOMENTS_WITH_PASSES = 2
/** How long a loss counts, and a part that was refused stays suspect after that, ms. */
const KEEP_TIME = 120_000

interface JudgeOptions {
  /** Runs with the part that passed within the last minutes, at any daemon. */
  readonly passes: number
  /** Whether runs with other parts pass, so that one without passes stands out. */
  readonly othersPass: boolean
  /** Runs of all requests that were lost with their servers, and that passed. */
  readonly all: { readonly lost: number, readonly passed: number }
  /** Moments at which servers were lost, with or without the part. */
  readonly allMoments: number
  /** Probability that a sound part was in flight at as many losses of servers. */
  readonly chance: number
  readonly now: number
}

/**
 * Decides how a part is treated. A part that many sound requests share is in flight at most losses as well, but its other runs pass
 * meanwhile; one that crashes each server never passes.
 *
 * @example
 * judgePart({ losses: [], passes: new Map(), refusals: 0, beside: [] }, { passes: 12, othersPass: true, all: { lost: 0, passed: 12 }, allMoments: 0, chance: 1, now: 5_000 }) // 'clear'
 */
export function judgePart ({ losses, refusedUntil = -Infinity, refusals }: PartEvidence, { passes, othersPass, all, allMoments, chance, now }: JudgeOptions): PartVerdict {
  if (now < refusedUntil) return 'refused'
  const recent = losses.filter(({ at }) => now - at < KEEP_TIME)
  const sequence = countSequential(recent)
  const moments = countMoments(recent)
  if (refusals > 0 && now < refusedUntil + KEEP_TIME) return recent.some(({ at }) => at > refusedUntil) ? 'refused' : 'suspect'
  if (passes > 0) {
    if (sequence >= SEQUENCE_WITH_PASSES && isBeyondChance(recent, { moments, passes, allMoments, chance, all })) return 'refused'
    return moments >= SUSPECT_MOMENTS_WITH_PASSES && passes <= MAX_PASSES_OF_OFTEN * moments && chance <= (hasEqualAges(recent) ? MAX_CHANCE_OF_SUSPECT_AGES : MAX_CHANCE_OF_SUSPECT) ? 'suspect' : 'clear'
  }
  if ((sequence >= LONG_SEQUENCE && !othersPass) || (sequence >= SHORT_SEQUENCE && isBurst(recent, { sequence, moments, chance }))) return 'refused'
  return moments >= (othersPass ? SUSPECT_MOMENTS : FIRST_SUSPECT_MOMENTS) ? 'suspect' : 'clear'
}

/** Whether so many servers were lost under a part that never passed that its runs must have crashed them. */
function isBurst (losses: readonly PartLoss[], { sequence, moments, chance }: { readonly sequence: number, readonly moments: number, readonly chance: number }): boolean {
  if (hasEqualAges(losses)) return moments >= MOMENTS_OF_SIMILAR_AGES || losses.length >= LOSSES_OF_EQUAL_AGES
  if (chance > MAX_CHANCE_WITHOUT_PASS) return false
  return Math.max(moments, sequence) >= MOMENTS_OF_SHORT_SEQUENCE || (moments >= MOMENTS_OF_SIMILAR_AGES && hasSimilarAges(losses, 'similar'))
}

/** Whether servers were lost under a part that passes now and then more often than chance explains. */
function isBeyondChance (losses: readonly PartLoss[], { moments, passes, allMoments, chance, all }: Pick<JudgeOptions, 'passes' | 'allMoments' | 'chance' | 'all'> & { readonly moments: number }): boolean {
  if (passes <= MAX_PASSES_OF_OFTEN * moments) {
    if (chance <= MAX_CHANCE_OF_EQUAL_AGES && moments >= MIN_SHARE * allMoments && hasEqualAges(losses)) return true
    if (moments >= MOMENTS_WITH_PASSES && chance <= MAX_CHANCE && hasSimilarAges(losses, 'similar')) return true
  }
  return chance <= MAX_CHANCE_OF_OTHER_AGES && isConspicuous({ lost: moments, passed: passes }, all)
}
