const MEAN_GAIN = 1 / 8
const DEVIATION_GAIN = 1 / 4
const DEVIATIONS = 8

/**
 * A smoothed mean of observed times and their deviation, from which to tell a slow answer from none.
 *
 * Source: Jacobson, "Congestion avoidance and control", 1988; RFC 6298.
 */
export class TimeEstimate {
  private mean?: number
  private deviation = 0

  /** `time` in ms. */
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

  /** How long to wait before taking it for lost, in ms between the two bounds; the higher one while nothing is known. */
  getTimeout (lowest: number, highest: number): number {
    if (this.mean === undefined) return highest
    return Math.min(highest, Math.max(lowest, this.mean + DEVIATIONS * this.deviation))
  }
}
