import { failUnreachable } from '../kernel/unreachable.js'
import type { ReaderRole } from './reader-role.js'

/** Age of the newest answer of the store to any reader at which the first in rank reads anew, ms. */
const CHECK_AGE = 1_000
/** Additional age at which the next in rank reads in its place, ms, and the step from one rank to the next. */
const FIRST_DELAY = 400
const RANK_STEP = 200
/** Pauses after a read without an answer, ms: of the first in rank, of the other watchers, and of the others in an outage for all watchers. */
const FIRST_RETRY = 400
const WATCHER_RETRY = 1_200
const SUBSTITUTE_RETRY = 3_000

/** When to read the store: `age` of the newest answer known here, and the pause after a failure; both in ms. */
interface CheckPlan { readonly age: number, readonly retry: number }

/**
 * Plans a daemon's short reads of the store, which bound the age of what it knows. A pending watch doesn't: without changes its
 * silence looks like that of a lost answer or a dead connection, which lasts as long as its wait. One reader reads for the whole fleet, as
 * heartbeats tell the others of its answers, and the others only when those are late.
 *
 * @example
 * planCheck({ type: 'watcher', rank: 0 }) // { age: 1_000, retry: 400 }
 */
export function planCheck (role: ReaderRole): CheckPlan | undefined {
  switch (role.type) {
    case 'follower': return undefined
    case 'watcher': return role.rank === 0 ? { age: CHECK_AGE, retry: FIRST_RETRY } : { age: CHECK_AGE + FIRST_DELAY + RANK_STEP * role.rank, retry: WATCHER_RETRY }
    case 'alone': return { age: CHECK_AGE, retry: FIRST_RETRY }
    case 'substitute': return { age: CHECK_AGE, retry: SUBSTITUTE_RETRY }
    default: return failUnreachable(role)
  }
}
