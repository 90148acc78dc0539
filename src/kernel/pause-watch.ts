import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from './clock.js'
import type { Part } from './part.js'
import { partRegistry } from './part-registry.js'
import { tokens } from './tokens.js'

/** Interval of checks, ms: well below `MIN_PAUSE`, and shared with other periodic tasks, to save wake-ups. */
const TICK_PERIOD = 250
/** Gap between two checks that counts as a pause, ms: longer than any delay of a healthy event loop. */
const MIN_PAUSE = 1_500

/**
 * Detects that the process was paused, for example suspended or stopped. A daemon that is paused for longer than its leases
 * resumes with outdated state, and may act on what others have taken over meanwhile. Parts call `check` before they act on state
 * that can expire; it compares the clocks itself, and so detects a pause before any timer has run.
 *
 * The monotonic clock may stop while a machine is suspended, so that the wall clock is compared too. Setting that forward
 * counts as a pause, which only costs a check of such state.
 */
@scoped(Lifecycle.ContainerScoped)
export class PauseWatch implements Part {
  /** Pauses detected so far. An answer to a request made under another count may be outdated. */
  count = 0
  private lastTime: number
  private lastDate: number
  private cancel = (): void => {}
  private readonly listeners = new Set<(gap: number) => void>()

  constructor (@inject(tokens.clock) private readonly clock: Clock) {
    this.lastTime = clock.now()
    this.lastDate = clock.date()
  }

  async start (): Promise<void> {
    this.lastTime = this.clock.now()
    this.lastDate = this.clock.date()
    this.cancel = this.clock.every(TICK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** If the process was paused since the last check, notifies the listeners before it returns. */
  check (): void {
    const [now, date] = [this.clock.now(), this.clock.date()]
    const gap = Math.max(now - this.lastTime, date - this.lastDate)
    this.lastTime = now
    this.lastDate = date
    if (gap <= MIN_PAUSE) return
    this.count++
    for (const listener of this.listeners) listener(gap)
  }

  /** Returns a function that returns the time of this call, monotonic ms, from which reads that follow count; undefined after a pause. */
  beginRead (): () => number | undefined {
    const { count } = this
    const began = this.clock.now()
    return () => {
      this.check()
      return count === this.count ? began : undefined
    }
  }

  /** Calls `listener` with the length of each pause, ms. */
  subscribe (listener: (gap: number) => void): void {
    this.listeners.add(listener)
  }
}

partRegistry.register({ name: 'pause watch', part: PauseWatch })
