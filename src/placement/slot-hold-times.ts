import { Lifecycle, scoped } from 'tsyringe'

/** Time that a request keeps its slot, ms, before any has ended. */
const DEFAULT_HOLD_TIME = 800
/** Weight of the newest stay. */
const WEIGHT = 0.05

/** How long requests of each pool keep their slots, by those that this daemon sent. */
@scoped(Lifecycle.ContainerScoped)
export class SlotHoldTimes {
  private readonly means = new Map<string, number>()

  /** Notes one stay, ms. */
  record (pool: string, holdTime: number): void {
    const known = this.find(pool)
    this.means.set(pool, known + WEIGHT * (holdTime - known))
  }

  /** The mean, ms, in which the newest count most. */
  find (pool: string): number {
    return this.means.get(pool) ?? DEFAULT_HOLD_TIME
  }
}
