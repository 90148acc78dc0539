/** How a caller's quota is measured: at most (rate x window + burst) x (1 + overage) + slack requests in any span of `window` ms. */
export interface QuotaTerms {
  /** ms. */
  readonly window: number
  /** Tolerated excess, as a share. */
  readonly overage: number
  /** Tolerated excess, requests. */
  readonly slack: number
}
