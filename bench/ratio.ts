/** The ratio of a latency quantile under a policy to that without batch, and its confidence interval. */
export interface Ratio {
  readonly value: number
  /** 95 % bootstrap interval. */
  readonly low: number
  readonly high: number
}
