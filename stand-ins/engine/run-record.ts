/** One run in a stand-in's log. Times are wall-clock ms. */
export interface RunRecord {
  readonly requestId: string
  readonly at: number
  readonly body: string
  outcome: 'running' | 'finished' | 'cancelled'
  /** Answer tokens generated, without those resumed from. */
  tokens?: number
  firstTokenAt?: number
  endedAt?: number
}
