/** Quantiles of a time in ms. */
interface Quantiles { readonly p50: number, readonly p95: number, readonly p99: number, readonly p999: number }

/** Counts and times of a load run. */
export interface LoadSummary {
  readonly asked: number
  readonly answered: number
  /** Refusals by cause. */
  readonly refused: Readonly<Record<string, number>>
  readonly cut: number
  readonly lost: number
  readonly firstToken: Quantiles
  readonly betweenTokens: Quantiles
  readonly refusalTime: Quantiles
}
