import { Lifecycle, scoped } from 'tsyringe'

/** Assumed hold time, ms, before the first request has ended. */
const DEFAULT_HOLD_TIME = 800
/** Weight of the newest sample. */
const WEIGHT = 0.05

/** Moving averages of the slot hold time and the request size by pool, over the requests that this daemon sent. */
@scoped(Lifecycle.ContainerScoped)
export class SlotHoldTimes {
  private readonly means = new Map<string, number>()
  /** Mean request size, see `estimateSize`. */
  private readonly sizes = new Map<string, number>()

  /** Records one hold time, ms, and the size of its request if that is known. */
  record (pool: string, holdTime: number, size?: number): void {
    const mean = this.find(pool)
    this.means.set(pool, mean + WEIGHT * (holdTime - mean))
    if (size === undefined) return
    const meanSize = this.sizes.get(pool) ?? size
    this.sizes.set(pool, meanSize + WEIGHT * (size - meanSize))
  }

  /** Returns the moving average, ms. */
  find (pool: string): number {
    return this.means.get(pool) ?? DEFAULT_HOLD_TIME
  }

  /** Returns the mean size of the requests of which `find` returns the mean hold time; undefined while none has told its size. */
  findSize (pool: string): number | undefined {
    return this.sizes.get(pool)
  }
}
