import type { ItemResult } from '../batch/item-result.js'

/** How one run of a batch item ended. */
export type BatchOutcome =
  | { readonly type: 'finished', readonly result: ItemResult }
  /** There was no connection, so nothing was sent. */
  | { readonly type: 'unreachable' }
  /** It may not begin any more, so nothing was sent. */
  | { readonly type: 'withheld' }
  /** No whole answer; `tokens` are all that there are, those of earlier runs with them. */
  | { readonly type: 'stopped', readonly ran: boolean, readonly tokens: readonly string[] }
