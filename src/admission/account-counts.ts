/** What one caller asked for, got and was refused of one service, online or batch. Times in ms. */
export interface AccountCounts {
  readonly asked: number
  readonly answered: number
  readonly tokens: number
  readonly waited: number
  /** By cause. */
  readonly refused: Readonly<Record<string, number>>
  readonly failed: Readonly<Record<string, number>>
}
