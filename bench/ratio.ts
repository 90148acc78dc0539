/** A quantile with a policy over the same without batch, and the interval in which chance alone leaves it. */
export interface Ratio {
  readonly value: number
  /** 95 % bootstrap interval. */
  readonly low: number
  readonly high: number
}
