import type { Extension } from './extension.js'

/**
 * A component of a daemon. The kernel creates all parts, then starts them in the order of their needs. At shutdown it
 * drains all parts concurrently, then stops them in reverse order.
 */
export interface Part {
  readonly extensions?: readonly Extension[]
  start? (): Promise<void>
  /**
   * Starts no work of its own from now on; resolves once running work has ended. While parts drain, requests still
   * arrive and must be served as before.
   */
  drain? (): Promise<void>
  /** Closes sockets and cancels timers. */
  stop? (): Promise<void>
}
