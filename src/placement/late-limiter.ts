/** Time constant of the average arrival rate, ms. */
const WINDOW = 300
/** After this time without requests, ms, demand is estimated from arrivals alone for as long, until the observed peak is meaningful. */
const RAMP = 2_000
/** Time constant with which the peak of running requests decays, ms. */
const PEAK_DECAY = 2_000

interface Occupancy {
  readonly slots: number
  /** Slots held by online requests. */
  readonly online: number
  /** Mean slot hold time, ms. */
  readonly holdTime: number
}

/**
 * Limits how many late requests start while other requests can still be on time.
 *
 * When all daemons restart under load, every caller that found none retries at once, already late, and finds every slot
 * free. If these retries got all slots, the requests that arrive while they run would be late too. A late request loses little by
 * waiting until the load falls, so slots that on-time requests are expected to need are reserved for them. Late requests start at
 * once where slots stay free, for example if they are late because daemons are short of processor time.
 */
export class LateLimiter {
  private onTime = 0
  /** Start of the current period of activity, which ends after `RAMP` without requests, and the last request in it. */
  private activeSince = -Infinity
  private lastActiveAt = -Infinity
  /** Decaying peak of concurrent on-time requests, as of `peakAt`. */
  private peak = 0
  private decayedAt = 0
  private peakAt = 0
  /** Start times of the late requests that may still be running. */
  private startedLate: readonly number[] = []

  /** Records the arrival of a request that can be on time. Times are monotonic ms. */
  recordOnTime (now: number): void {
    this.recordActivity(now)
    this.decay(now)
    this.onTime++
  }

  /** Returns whether a late request may start now. The caller then confirms the start by `recordStart`. */
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

  /** Estimates the slots that on-time requests will hold at once; infinite until the first window has passed. */
  private estimateDemand (now: number, holdTime: number): number {
    if (now < this.activeSince + WINDOW) return Infinity
    this.decay(now)
    // The average began at zero, so that it falls short of the rate in the first windows.
    const filled = 1 - Math.exp(-(now - this.activeSince) / WINDOW)
    const arriving = this.onTime / WINDOW / filled * holdTime
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
