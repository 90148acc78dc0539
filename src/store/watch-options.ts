import type { CallPriority } from './call-priority.js'

/** How a watch is sent. */
export interface WatchOptions {
  readonly priority?: CallPriority
  /** Limit for the whole call, ms; if omitted, its wait and a second. */
  readonly timeout?: number
  /** Ends the call without an answer. */
  readonly signal?: AbortSignal
}
