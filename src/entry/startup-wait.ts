import type { Clock } from '../kernel/clock.js'
import { waitForNext } from '../kernel/wait-for-next.js'

/**
 * How long after its start a daemon lets requests wait for what it must know, ms. The store answers within some ten, and one that
 * doesn't by then is away for longer than callers can wait.
 */
const MAX_STARTUP_WAIT = 600
/** Bounds of what callers are told to wait, ms: the store may answer in a moment, and callers have no more than some seconds. */
const MIN_RETRY = 300
const MAX_RETRY = 2_000

interface StartWaitOptions {
  readonly clock: Clock
  readonly isLoaded: () => boolean
  /** Calls `listener` whenever that may have changed; the function it gives back ends that. */
  readonly subscribe: (listener: () => void) => () => void
}

/**
 * Lets the first requests of a process wait until it knows its configuration and the backend servers.
 *
 * Load pattern: all daemons ended, and a second's callers come at once to processes that have just started. Refused for what the
 * store will have told in a moment, they lose their last try; later, while the store is away, they are told at once.
 */
export class StartupWait {
  private readonly startedAt: number
  private readonly until: number

  constructor (private readonly options: StartWaitOptions) {
    this.startedAt = options.clock.now()
    this.until = this.startedAt + MAX_STARTUP_WAIT
  }

  /**
   * When a caller that is refused should come again, ms: a store that has been away for long will be for a while yet, and a caller sent
   * back to it at once has used up its tries.
   */
  get retryAfter (): number {
    return Math.min(MAX_RETRY, Math.max(MIN_RETRY, this.options.clock.now() - this.startedAt))
  }

  /** Resolves once all is known, true, or once waiting is of no use, false. */
  async wait (): Promise<boolean> {
    const { clock, isLoaded, subscribe } = this.options
    while (!isLoaded()) {
      const left = this.until - clock.now()
      if (left <= 0) return false
      await waitForNext(clock, subscribe, left)
    }
    return true
  }
}
