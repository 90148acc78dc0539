import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from './clock.js'
import type { Part } from './part.js'
import { partRegistry } from './part-registry.js'
import { tokens } from './tokens.js'

/** Well below the pause that is looked for, and together with the other periodic tasks: each tick wakes the process. */
const TICK_PERIOD = 250
const MIN_PAUSE = 1_500

/**
 * Notices that the process stood still. A daemon that was frozen past its leases goes on, when it thaws, with
 * what it believed before; its symptom is a second holder acting on what others took over meanwhile. Parts call
 * `check` before they act on a belief that can lapse: a gap between ticks longer than any wait of a healthy loop
 * tells them first, because `check` itself compares the clocks and doesn't rely on a timer having run. The steady clock of a
 * suspended machine stands still, so the time of day is compared too; one that is set forward looks like a pause, which costs a
 * look at what was believed and no more.
 */
@scoped(Lifecycle.ContainerScoped)
export class PauseWatch implements Part {
  /** Pauses noticed so far: what was asked for under another count may be from before a pause. */
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

  /** Tells the listeners, before it returns, if the process has stood still since the last check. */
  check (): void {
    const [now, date] = [this.clock.now(), this.clock.date()]
    const gap = Math.max(now - this.lastTime, date - this.lastDate)
    this.lastTime = now
    this.lastDate = date
    if (gap <= MIN_PAUSE) return
    this.count++
    for (const listener of this.listeners) listener(gap)
  }

  /** `listener` gets the length of each pause in ms. */
  subscribe (listener: (gap: number) => void): void {
    this.listeners.add(listener)
  }
}

partRegistry.register({ name: 'pause watch', part: PauseWatch })
