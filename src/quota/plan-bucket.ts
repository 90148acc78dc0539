import type { BucketPlan } from './bucket-plan.js'
import type { Quota } from './quota.js'
import type { QuotaTerms } from './quota-terms.js'

const MS_PER_SECOND = 1_000
/** Shares of what the terms allow beyond the rate: capacity of all buckets together, and what they contain at a restart of all holders. */
const CAPACITY_SHARE = 0.6
const INITIAL_SHARE = 0.3
/** Least capacity of a bucket, and of one of several holders, tokens. */
const MIN_CAPACITY = 1
const MIN_SHARED_CAPACITY = 2

/**
 * Plans the token buckets of a caller's quota, which is divided evenly between at most `daemons` holders. In any window all of them
 * together grant at most what the terms allow, also if all processes restart once in that window: capacity, initial tokens and what is
 * added in a window together don't exceed it.
 *
 * @example
 * planBucket({ rate: 5, burst: 5 }, { window: 5_000, overage: 0.1, slack: 20 }, 6).holders // 6
 */
export function planBucket ({ rate, burst }: Quota, { window, overage, slack }: QuotaTerms, daemons: number): BucketPlan & { readonly holders: number } {
  const perWindow = rate * window / MS_PER_SECOND
  const allowed = (perWindow + burst) * (1 + overage) + slack
  const beyondRate = Math.max(0, allowed - perWindow)
  const capacity = Math.max(MIN_CAPACITY, beyondRate * CAPACITY_SHARE)
  const initial = Math.min(capacity, beyondRate * INITIAL_SHARE)
  const added = Math.max(0, Math.min(perWindow, allowed - capacity - initial))
  const holders = Math.max(1, Math.min(daemons, Math.floor(capacity / MIN_SHARED_CAPACITY)))
  return { holders, rate: added / window / holders, capacity: capacity / holders, initial: initial / holders }
}
