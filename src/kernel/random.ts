/**
 * A seeded random number generator (mulberry32), so that a run can be repeated from its seed.
 *
 * @example
 * const random = new Random(7)
 * random.next() === new Random(7).next() // true
 */
export class Random {
  constructor (private state: number) {}

  /** Returns a number in [0, 1). */
  next (): number {
    this.state = (this.state + 0x6d2b79f5) | 0
    let t = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state)
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32
  }

  /** Returns an integer in [0, bound). */
  below (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  /** Returns `value` with a jitter of up to `share` of it either way. */
  spread (value: number, share = 0.25): number {
    return value * (1 + share * (2 * this.next() - 1))
  }
}
