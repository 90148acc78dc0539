/** An open job as those who look for work of one service see it, in an object `work/SERVICE~DUE~JOB`. */
export interface WorkEntry {
  readonly job: string
  readonly service: string
  readonly caller: string
  /** Wall-clock ms. */
  readonly created: number
  readonly due: number
  /** Items of the service in the job. */
  readonly items: number
}
