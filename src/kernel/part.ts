import type { Extension } from './extension.js'

/**
 * One part of a daemon. The kernel creates all parts, then starts them in order of their needs. At shutdown it
 * drains every part at once, the waits overlapping, and then stops them in reverse order.
 */
export interface Part {
  readonly extensions?: readonly Extension[]
  start? (): Promise<void>
  /**
   * Begins no work of its own from here on; resolves once what was running has ended. Requests still come in by the
   * entry while parts drain, and are to be served as before.
   */
  drain? (): Promise<void>
  /** Lets go of sockets and timers. */
  stop? (): Promise<void>
}
