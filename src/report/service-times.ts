/** Response times of one service in ms. Each is the upper end of its histogram bucket: at most a sixteenth too high, never too low. */
export interface ServiceTimes {
  readonly name: string
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
}
