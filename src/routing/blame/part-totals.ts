/** Time after which amounts are set aside, and then forgotten, ms. */
const PERIOD = 60_000
/** Maximum number of parts in each of two periods; the ones recorded longest ago are forgotten first. */
const MAX_PARTS = 4_000

/** Adds up an amount that runs bring, such as their number or time, by part and in all over the last one to two minutes. */
export class PartTotals {
  private current = new Map<string, number>()
  private former: ReadonlyMap<string, number> = new Map()
  private totals = { current: 0, former: 0 }
  private beganAt = -Infinity

  /** Records the amount of one run for each of its parts, and once for the total. */
  record (parts: readonly string[], amount: number, now: number): void {
    this.rotate(now)
    this.totals.current += amount
    for (const part of parts) {
      const sum = (this.current.get(part) ?? 0) + amount
      this.current.delete(part)
      this.current.set(part, sum)
      if (this.current.size > MAX_PARTS) this.current.delete(this.current.keys().next().value!)
    }
  }

  get (part: string, now: number): number {
    this.rotate(now)
    return (this.current.get(part) ?? 0) + (this.former.get(part) ?? 0)
  }

  total (now: number): number {
    this.rotate(now)
    return this.totals.current + this.totals.former
  }

  private rotate (now: number): void {
    if (now < this.beganAt + PERIOD) return
    const isRecent = now < this.beganAt + 2 * PERIOD
    this.former = isRecent ? this.current : new Map()
    this.totals = { current: 0, former: isRecent ? this.totals.current : 0 }
    this.current = new Map()
    this.beganAt = now
  }
}
