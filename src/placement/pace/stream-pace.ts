import type { Clock } from '../../kernel/clock.js'

/** Measures the intervals between the events of one stream; the time to the first event isn't one of them. */
export class StreamPace {
  private lastAt: number | undefined

  /** `onIntervals` receives the number of new events and the time since the last one before them, ms. */
  constructor (private readonly clock: Clock, private readonly onIntervals: (count: number, time: number) => void) {}

  /** Records that `count` events have arrived. */
  record (count: number): void {
    const now = this.clock.now()
    if (this.lastAt !== undefined) this.onIntervals(count, now - this.lastAt)
    this.lastAt = now
  }
}
