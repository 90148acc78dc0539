const MEAN_GAIN = 1 / 8
const DEVIATION_GAIN = 1 / 4
/** Deviations above the mean after which an answer counts as lost. */
const DEVIATIONS = 8

/**
 * A smoothed mean and deviation of observed times, for timeouts that adapt to them.
 *
 * Source: Jacobson, "Congestion avoidance and control", 1988; RFC 6298.
 */
export class TimeEstimate {
  private mean?: number
  private deviation = 0

  /** Adds an observed time, ms. */
  record (time: number): void {
    if (this.mean === undefined) {
      this.mean = time
      this.deviation = time / 2
      return
    }
    const error = time - this.mean
    this.mean += error * MEAN_GAIN
    this.deviation += (Math.abs(error) - this.deviation) * DEVIATION_GAIN
  }

  /** Returns a timeout in ms within the two bounds; `highest` until a time has been observed. */
  getTimeout (lowest: number, highest: number): number {
    if (this.mean === undefined) return highest
    return Math.min(highest, Math.max(lowest, this.mean + DEVIATIONS * this.deviation))
  }
}
