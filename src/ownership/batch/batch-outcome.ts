import type { ItemResult } from '../../batch/results/item-result.js'

/** How one run of a batch item ended. */
export type BatchOutcome =
  | { readonly type: 'finished', readonly result: ItemResult }
  /** No connection could be opened, so nothing was sent. */
  | { readonly type: 'unreachable' }
  /** The item was no longer allowed to start, or its server took no new requests, so nothing was sent. */
  | { readonly type: 'withheld' }
  /** The answer is incomplete; `tokens` holds all tokens so far, including those of earlier runs. */
  | { readonly type: 'stopped', readonly ran: boolean, readonly tokens: readonly string[] }
