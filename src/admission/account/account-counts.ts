/** Counts of one caller's requests to one service, online or batch. Whole numbers, so that sums are exact; times in ms. */
export interface AccountCounts {
  readonly asked: number
  readonly answered: number
  readonly tokens: number
  readonly waited: number
  /** Server time used in minutes in which requests waited, and what the share entitled the caller to. */
  readonly got: number
  readonly entitled: number
  /** By cause. */
  readonly refused: Readonly<Record<string, number>>
  readonly failed: Readonly<Record<string, number>>
  /** Jobs that ended, by `on time`, `late` and `cancelled`. */
  readonly jobs: Readonly<Record<string, number>>
}
