import type { Clock } from '../kernel/clock.js'
import { waitForNotification } from '../kernel/wait-for-notification.js'

/** How long after its start a daemon holds requests until its state has loaded, ms. A store that hasn't answered by then is unavailable. */
const MAX_STARTUP_WAIT = 600
/** Bounds of the retry delay sent to callers, ms; callers have only a few seconds in all. */
const MIN_RETRY = 300
const MAX_RETRY = 2_000

interface StartWaitOptions {
  readonly clock: Clock
  readonly isLoaded: () => boolean
  /** Calls `listener` whenever `isLoaded` may have changed, until the returned function is called. */
  readonly subscribe: (listener: () => void) => () => void
}

/**
 * Holds the first requests of a process until its configuration and backend servers have loaded.
 *
 * After a restart of the whole fleet many callers arrive at processes that have just started. Refusing them for state that loads in a moment
 * would use up their retries. Once the startup time has passed, requests are refused at once.
 */
export class StartWait {
  private readonly startedAt: number
  private readonly until: number

  constructor (private readonly options: StartWaitOptions) {
    this.startedAt = options.clock.now()
    this.until = this.startedAt + MAX_STARTUP_WAIT
  }

  /** Retry delay for refused callers, ms. It grows with the length of the outage, so that callers don't use up their retries during it. */
  get retryAfter (): number {
    return Math.min(MAX_RETRY, Math.max(MIN_RETRY, this.options.clock.now() - this.startedAt))
  }

  /** Waits for the state; resolves to true once it has loaded, or to false once the startup time has passed. */
  async wait (): Promise<boolean> {
    const { clock, isLoaded, subscribe } = this.options
    while (!isLoaded()) {
      const left = this.until - clock.now()
      if (left <= 0) return false
      await waitForNotification(clock, subscribe, left)
    }
    return true
  }
}
