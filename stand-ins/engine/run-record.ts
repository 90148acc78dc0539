/** One run in a stand-in's log, which decides in tests what ran. */
export interface RunRecord {
  readonly requestId: string
  readonly at: number
  readonly body: string
  outcome: 'running' | 'finished' | 'cancelled'
}
