import type { BatchWork } from '../ownership/batch-work.js'
import type { ItemResult } from './item-result.js'

/** Attempts of an item that servers failed, after which it ends as failed. */
const MAX_ATTEMPTS = 5
const FIRST_PAUSE = 200
const MAX_PAUSE = 5_000

/** What becomes of an item that was given back. `attempts` is how many have failed, this one with them. */
type RetryPlan =
  | { readonly type: 'again', readonly pause: number, readonly attempts: number }
  | { readonly type: 'finish', readonly result: ItemResult }

interface ReturnedItem {
  readonly why: Parameters<BatchWork['giveBack']>[0]
  readonly ran: boolean
  readonly idempotent: boolean
  /** Attempts that had failed before. */
  readonly attempts: number
  readonly server: string
}

/**
 * Decides about an item that was given back. Giving way to online requests isn't an attempt, nor is a run that was
 * aborted, so that neither load nor a restart ever makes an item fail. A non-idempotent item that may have run is
 * over: its fate isn't known, and a second run is what must not happen.
 */
export function planRetry ({ why, ran, idempotent, attempts, server }: ReturnedItem): RetryPlan {
  if (ran && !idempotent) return finish('unknown', `it may have run at ${server}; it is not to be repeated`)
  if (why !== 'server failed') return { type: 'again', pause: 0, attempts }
  const failed = attempts + 1
  if (failed >= MAX_ATTEMPTS) return finish('server-failed', `no whole answer in ${MAX_ATTEMPTS} attempts, the last at ${server}`)
  return { type: 'again', pause: Math.min(MAX_PAUSE, FIRST_PAUSE * 2 ** attempts), attempts: failed }
}

function finish (cause: string, detail: string): RetryPlan {
  return { type: 'finish', result: { type: 'failed', cause, detail } }
}
