import { failUnreachable } from '../kernel/unreachable.js'
import type { UnownedReason } from './unowned-reason.js'

/**
 * How long the registry may name this process as the owner of a job that it doesn't have, ms: by then another daemon that took the job over,
 * or was given it, has published that.
 */
const NOT_HELD_WAIT = 2_000
/**
 * How long a daemon waits before it takes a job over from a process that isn't among its members yet, ms. After a restart of the fleet,
 * daemons that have just started find jobs in the store before they know all processes that run.
 */
const UNKNOWN_OWNER_WAIT = 5_000
/** How long a daemon leaves a job to each of the first ones in rank, ms: that one may not reach the store, or rank by other members. */
const RANK_WAIT = 4_000
/** Number of daemons to which a job is left for so long, and the time for each later one, ms: that many rarely fail without a common cause. */
const FIRST_CANDIDATES = 3
const LATER_RANK_WAIT = 1_000

interface AdoptionOptions {
  /** For how long the job has had no owner, ms. */
  readonly age: number
  /** Number of daemons that rank before this one for the job; -1 where this one doesn't rank. */
  readonly position: number
}

/**
 * Whether this daemon takes a job over that has no owner.
 *
 * @example
 * isAdoptionDue('lost', { age: 0, position: 0 }) // true
 */
export function isAdoptionDue (reason: UnownedReason, { age, position }: AdoptionOptions): boolean {
  const isRanked = position >= 0
  switch (reason) {
    case 'not held': return age >= NOT_HELD_WAIT
    case 'ended':
    case 'lost': return isRanked && age >= findRankWait(position)
    case 'unknown': return isRanked && age >= UNKNOWN_OWNER_WAIT + findRankWait(position)
    default: return failUnreachable(reason)
  }
}

/** Returns how long a daemon leaves a job to those that rank before it, ms. */
function findRankWait (position: number): number {
  const first = Math.min(position, FIRST_CANDIDATES - 1)
  return first * RANK_WAIT + (position - first) * LATER_RANK_WAIT
}
