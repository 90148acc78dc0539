import type { Clock } from '../../../src/kernel/clock.js'

/**
 * The clock of one daemon in a simulation. While it is paused the daemon's timers don't run; those that became due
 * run on resumption.
 */
export class DaemonClock implements Clock {
  private resolveResumed?: () => void
  private resumed: Promise<void> = Promise.resolve()

  constructor (private readonly shared: Clock, private readonly shift: { readonly ms: number }) {}

  get isPaused (): boolean {
    return this.resolveResumed !== undefined
  }

  now (): number {
    return this.shared.now()
  }

  date (): number {
    return this.shared.date() + this.shift.ms
  }

  after (delay: number, task: () => void): () => void {
    let cancelled = false
    const cancel = this.shared.after(delay, () => { void this.runResumed(() => cancelled || task()) })
    return () => {
      cancelled = true
      cancel()
    }
  }

  every (period: number, task: () => void): () => void {
    return this.shared.every(period, () => { if (!this.isPaused) task() })
  }

  pause (): void {
    if (!this.isPaused) this.resumed = new Promise(resolve => { this.resolveResumed = resolve })
  }

  resume (): void {
    this.resolveResumed?.()
    this.resolveResumed = undefined
  }

  /** Resolves at once, or on resumption if the clock is paused. */
  async waitResumed (): Promise<void> {
    while (this.isPaused) await this.resumed
  }

  private async runResumed (task: () => void): Promise<void> {
    await this.waitResumed()
    task()
  }
}
