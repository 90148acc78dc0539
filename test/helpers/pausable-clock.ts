import type { Clock } from '../../src/kernel/clock.js'
import type { VirtualClock } from './virtual-clock.js'

/** The clock of one of several processes on virtual time. While it is paused, one-shot timers wait for resumption and periodic ones are skipped. */
export class PausableClock implements Clock {
  private readonly pending: Array<() => void> = []
  private pausedAt: number | undefined
  /** Total time for which the steady clock was stopped, ms. */
  private uncounted = 0

  constructor (private readonly clock: VirtualClock) {}

  get isPaused (): boolean {
    return this.pausedAt !== undefined
  }

  now (): number {
    return this.clock.now() - this.uncounted
  }

  date (): number {
    return this.clock.date()
  }

  after (delay: number, task: () => void): () => void {
    let cancelled = false
    const cancel = this.clock.after(delay, () => this.run(() => { if (!cancelled) task() }))
    return () => {
      cancelled = true
      cancel()
    }
  }

  every (period: number, task: () => void): () => void {
    return this.clock.every(period, () => { if (!this.isPaused) task() })
  }

  /** Runs `task` now, or on resumption if the process is paused. */
  run (task: () => void): void {
    if (this.isPaused) this.pending.push(task)
    else task()
  }

  pause (): void {
    this.pausedAt = this.clock.now()
  }

  /** Resumes the process. `counted` says whether the steady clock advanced meanwhile, as it does for a stopped process but not for a suspended machine. */
  resume (counted: boolean): void {
    if (!counted) this.uncounted += this.clock.now() - (this.pausedAt ?? this.clock.now())
    this.pausedAt = undefined
    for (const task of this.pending.splice(0)) task()
  }
}
