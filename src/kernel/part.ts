import type { Extension } from './extension.js'

/**
 * One part of a daemon. The kernel creates all parts, then starts them in order of their needs. At shutdown it
 * drains every part at once, the waits overlapping, and then stops them in reverse order.
 */
export interface Part {
  readonly extensions?: readonly Extension[]
  start? (): Promise<void>
  /** Takes no new work from here on; resolves once what was running has ended. */
  drain? (): Promise<void>
  /** Lets go of sockets and timers. */
  stop? (): Promise<void>
}
