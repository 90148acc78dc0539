import type { Item } from '../../batch/item.js'
import type { ItemResult } from '../../batch/results/item-result.js'

/**
 * A batch item handed to the owner of a server to run there. Exactly one of `finish` and `giveBack` is called, exactly
 * once. An item given back is handed out again, to this or another daemon.
 */
export interface BatchWork {
  readonly id: string
  readonly job: string
  readonly caller: string
  readonly service: string
  readonly item: Item
  /** Answer tokens of earlier, preempted runs, from which the engine can resume. */
  readonly resumeFrom?: readonly string[]
  /** Servers that failed the item before; others are preferred. */
  readonly avoid?: readonly string[]
  /** Whether the item may be sent again when it is unknown whether it ran. */
  readonly idempotent: boolean
  /** Aborted when the item's job is cancelled or its claim is lost: stop the run, then give the item back. */
  readonly signal: AbortSignal
  /**
   * Whether the item may still start. Call it in the same turn in which the first byte is sent, as the result may
   * change at any time.
   */
  mayStart (): boolean
  finish (result: ItemResult): void
  /** `ran` says whether the server may have run any of the item; `tokens` are those received so far. */
  giveBack (why: 'gave way' | 'server failed' | 'aborted', options: { readonly ran: boolean, readonly tokens?: readonly string[], readonly server: string }): void
}
