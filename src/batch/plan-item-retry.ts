import type { BatchWork } from '../ownership/batch/batch-work.js'
import type { ItemResult } from './results/item-result.js'

/** Failed attempts after which an item fails. */
const MAX_ATTEMPTS = 5
/** Pause in ms after the first failed attempt; it doubles with each further one up to `MAX_PAUSE`. */
const FIRST_PAUSE = 200
const MAX_PAUSE = 5_000

/** What happens to an item that was given back. `attempts` counts its failed attempts so far. */
type RetryPlan =
  | { readonly type: 'again', readonly pause: number, readonly attempts: number }
  | { readonly type: 'finish', readonly result: ItemResult }

interface ReturnedItem {
  readonly why: Parameters<BatchWork['giveBack']>[0]
  readonly ran: boolean
  readonly idempotent: boolean
  /** Earlier failed attempts. */
  readonly attempts: number
  readonly server: string
}

/**
 * Decides what happens to an item that was given back. Preempted and aborted runs don't count as attempts, so that
 * neither load nor a restart makes an item fail. A non-idempotent item that may have run fails as unknown, because it
 * must not run twice.
 */
export function planItemRetry ({ why, ran, idempotent, attempts, server }: ReturnedItem): RetryPlan {
  if (ran && !idempotent) return finish('unknown', `it may have run at ${server}; it is not to be repeated`)
  if (why !== 'server failed') return { type: 'again', pause: 0, attempts }
  const failed = attempts + 1
  if (failed >= MAX_ATTEMPTS) return finish('server-failed', `no whole answer in ${MAX_ATTEMPTS} attempts, the last at ${server}`)
  return { type: 'again', pause: Math.min(MAX_PAUSE, FIRST_PAUSE * 2 ** attempts), attempts: failed }
}

function finish (cause: string, detail: string): RetryPlan {
  return { type: 'finish', result: { type: 'failed', cause, detail } }
}
