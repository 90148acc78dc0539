import { Lifecycle, scoped } from 'tsyringe'

/** Assumed hold time, ms, before the first request has ended. */
const DEFAULT_HOLD_TIME = 800
/** Weight of the newest sample. */
const WEIGHT = 0.05

/** Moving average of the slot hold time by pool, over the requests that this daemon sent. */
@scoped(Lifecycle.ContainerScoped)
export class SlotHoldTimes {
  private readonly means = new Map<string, number>()

  /** Records one hold time, ms. */
  record (pool: string, holdTime: number): void {
    const mean = this.find(pool)
    this.means.set(pool, mean + WEIGHT * (holdTime - mean))
  }

  /** Returns the moving average, ms. */
  find (pool: string): number {
    return this.means.get(pool) ?? DEFAULT_HOLD_TIME
  }
}
