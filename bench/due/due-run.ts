/** The result of one run of the simulation for its urgent jobs. */
export interface DueRun {
  readonly jobs: number
  readonly onTime: number
  /** Lateness in ms of each late job that ended. */
  readonly late: readonly number[]
  /** Backlog items completed during the run, which shows the cost of the order to other jobs. */
  readonly backlogItems: number
}
