/** What one run gave for the jobs near their due time. */
export interface DueRun {
  readonly jobs: number
  readonly onTime: number
  /** ms by which the late ones were late, of those that ended. */
  readonly late: readonly number[]
  /** Items of the backlog done until the last near job was due, so that what order costs others shows. */
  readonly backlogItems: number
}
