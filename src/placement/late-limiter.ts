/** Time over which arrivals are averaged, ms: a wave of online requests is felt within it. */
const WINDOW = 300
/** How long a queue that was quiet for as long goes by what comes, ms, before what runs shows how many slots that takes. */
const RAMP = 2_000
/** How fast the most that ran at once is forgotten, ms. */
const PEAK_DECAY = 2_000

interface Occupancy {
  readonly slots: number
  /** Slots that online requests have. */
  readonly online: number
  /** Mean time that a request keeps its slot, ms. */
  readonly holdTime: number
}

/**
 * How many late requests begin while others can still be in time.
 *
 * Load pattern: all daemons ended and are back in the middle of a wave. Everybody who met nobody comes again at once, late already, and
 * finds every slot free; given them all, they keep those for the most of a second, and all who come meanwhile are late as well. A
 * late request loses nothing by waiting for the end of the wave. So slots that those in time will take in a moment are kept for
 * them. Where slots stay free, as behind daemons that are short of processor time, late requests begin at once.
 */
export class LateLimiter {
  private onTime = 0
  /** Since when requests come without a long pause, and when the last one was dealt with. */
  private activeSince = -Infinity
  private lastActiveAt = -Infinity
  /** Most requests in time that ran at once, as of `peakAt`. */
  private peak = 0
  private decayedAt = 0
  private peakAt = 0
  /** When late requests began that may still run. */
  private startedLate: readonly number[] = []

  /** Notes a request that can be in time. Times are monotonic ms. */
  recordOnTime (now: number): void {
    this.recordActivity(now)
    this.decay(now)
    this.onTime++
  }

  /** Whether a late request may begin now; `use` says that it does. */
  mayStart (now: number, { slots, online, holdTime }: Occupancy): boolean {
    this.recordActivity(now)
    this.startedLate = this.startedLate.filter(at => now < at + holdTime)
    const running = Math.max(0, online - this.startedLate.length)
    this.updatePeak(now, running)
    const expected = this.estimateDemand(now, holdTime)
    return slots - online > Math.max(0, expected - running)
  }

  recordStart (now: number): void {
    this.startedLate = [...this.startedLate, now]
  }

  private recordActivity (now: number): void {
    if (now > this.lastActiveAt + RAMP) this.activeSince = now
    this.lastActiveAt = now
  }

  /** Slots that requests in time will have at once. Until a window is over nothing is known of them. */
  private estimateDemand (now: number, holdTime: number): number {
    if (now < this.activeSince + WINDOW) return Infinity
    this.decay(now)
    const arriving = this.onTime / WINDOW * holdTime
    return now < this.activeSince + RAMP ? arriving : Math.min(arriving, this.peak)
  }

  private updatePeak (now: number, running: number): void {
    this.peak = Math.max(running, this.peak * Math.exp(-(now - this.peakAt) / PEAK_DECAY))
    this.peakAt = now
  }

  private decay (now: number): void {
    this.onTime *= Math.exp(-(now - this.decayedAt) / WINDOW)
    this.decayedAt = now
  }
}
