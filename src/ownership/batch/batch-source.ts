import type { BatchWork } from './batch-work.js'

/** A source of batch items for the owners of servers. `batch` implements it; `ownership` uses it. */
export interface BatchSource {
  /** Reports how many items of the service this daemon could run now, so that enough are claimed ahead. */
  want (service: string, capacity: number): void
  /** Returns an item that is ready to run, or undefined if there is none. */
  take (service: string): BatchWork | undefined
  /** Calls `listener` when items of a service become ready after `take` returned undefined. */
  subscribe (listener: (service: string) => void): void
}
