import type { Item } from '../batch/item.js'
import type { ItemResult } from '../batch/item-result.js'

/**
 * One batch item handed to the owner of a server to run there. Exactly one of `finish` and `giveBack` is called,
 * once. An item given back is handed out again, to this or another daemon.
 */
export interface BatchWork {
  readonly id: string
  readonly job: string
  readonly caller: string
  readonly service: string
  readonly item: Item
  /** Answer tokens that an earlier run had given before it gave way, so that the engine can resume there. */
  readonly resumeFrom?: readonly string[]
  /** Servers that failed the item before; another one is better where there is one. */
  readonly avoid?: readonly string[]
  /** Whether the item may be sent again when it isn't known whether it ran. */
  readonly idempotent: boolean
  /** Aborted when the item's job has been cancelled or its claim lost: stop the run, then give back. */
  readonly signal: AbortSignal
  /** Whether it may still begin. Asked in the very turn in which its first byte leaves: what was true when it was taken lapses. */
  mayStart (): boolean
  finish (result: ItemResult): void
  /** `ran` tells whether the server can have run any of it; `tokens` are what it had given. */
  giveBack (why: 'gave way' | 'server failed' | 'aborted', options: { readonly ran: boolean, readonly tokens?: readonly string[], readonly server: string }): void
}
