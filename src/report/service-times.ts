/** Times of one service's answers in ms, each read at the upper end of its bucket: at most a sixteenth too high, never too low. */
export interface ServiceTimes {
  readonly name: string
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
}
