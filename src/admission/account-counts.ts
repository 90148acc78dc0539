/** What one caller asked for, got and was refused of one service, online or batch. Whole numbers, so that sums are exact; times in ms. */
export interface AccountCounts {
  readonly asked: number
  readonly answered: number
  readonly tokens: number
  readonly waited: number
  /** Server time it got in minutes in which requests waited, and what its share entitled it to. */
  readonly got: number
  readonly entitled: number
  /** By cause. */
  readonly refused: Readonly<Record<string, number>>
  readonly failed: Readonly<Record<string, number>>
  /** Jobs that ended, by `on time`, `late` and `cancelled`. */
  readonly jobs: Readonly<Record<string, number>>
}
