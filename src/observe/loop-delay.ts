import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from './metrics.js'

/** Same as the period of the pause watch, so that both share a wake-up of the process, ms. */
const PERIOD = 250
/** Periodic tasks run at multiples of their period, at most this much early, ms. */
const TOLERANCE = 1
/** The longest delay is reported for one to two windows, so that a scrape within each window sees it, ms. */
const WINDOW = 15_000

/**
 * Measures how late the event loop runs a periodic task, which is how long requests and answers wait while it is busy.
 * `loop_delay_ms` records all delays since the start, `loop_delay_longest_ms` the longest of the last 15 to 30 s.
 */
@scoped(Lifecycle.ContainerScoped)
export class LoopDelay implements Part {
  private due = Infinity
  private longest = 0
  private previousLongest = 0
  private windowStart: number
  private cancel = (): void => {}

  constructor (
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(Metrics) private readonly metrics: Metrics
  ) {
    this.windowStart = clock.now()
    metrics.gauge('loop_delay_longest_ms', () => Math.round(Math.max(this.longest, this.previousLongest)))
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private check (): void {
    const now = this.clock.now()
    const delay = Math.max(0, now - this.due)
    this.due = (Math.floor((now + TOLERANCE) / PERIOD) + 1) * PERIOD
    this.metrics.observe('loop_delay_ms', delay)
    if (now >= this.windowStart + WINDOW) {
      this.previousLongest = now < this.windowStart + 2 * WINDOW ? this.longest : 0
      this.longest = 0
      this.windowStart = now
    }
    this.longest = Math.max(this.longest, delay)
  }
}

partRegistry.register({ name: 'loop delay', part: LoopDelay })
