import type { Clock } from '../../../src/kernel/clock.js'

/**
 * The clock of one daemon in a simulation. While it is frozen the daemon's timers don't run; those that became due
 * run at the thaw.
 */
export class FreezableClock implements Clock {
  private thaw?: () => void
  private thawed: Promise<void> = Promise.resolve()

  constructor (private readonly shared: Clock, private readonly shift: { readonly ms: number }) {}

  get frozen (): boolean {
    return this.thaw !== undefined
  }

  now (): number {
    return this.shared.now()
  }

  date (): number {
    return this.shared.date() + this.shift.ms
  }

  after (delay: number, task: () => void): () => void {
    let cancelled = false
    const cancel = this.shared.after(delay, () => { void this.runThawed(() => cancelled || task()) })
    return () => {
      cancelled = true
      cancel()
    }
  }

  every (period: number, task: () => void): () => void {
    return this.shared.every(period, () => { if (!this.frozen) task() })
  }

  freeze (): void {
    if (!this.frozen) this.thawed = new Promise(resolve => { this.thaw = resolve })
  }

  resume (): void {
    this.thaw?.()
    this.thaw = undefined
  }

  /** Resolves at once, or at the thaw if the clock is frozen. */
  async waitThawed (): Promise<void> {
    while (this.frozen) await this.thawed
  }

  private async runThawed (task: () => void): Promise<void> {
    await this.waitThawed()
    task()
  }
}
