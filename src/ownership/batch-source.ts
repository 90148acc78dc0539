import type { BatchWork } from './batch-work.js'

/** Where the owners of servers get batch items from. `batch` contributes it; `ownership` uses it. */
export interface BatchSource {
  /** Says how many items of the service this daemon could run at once now, so that enough are claimed ahead. */
  want (service: string, capacity: number): void
  /** An item ready to run, at once, or undefined where none is. */
  take (service: string): BatchWork | undefined
  /** Calls `listener` when items of a service become ready after `take` gave none. */
  subscribe (listener: (service: string) => void): void
}
