/** An open job in the work index of a service, stored as `work/SERVICE~DUE~JOB`. */
export interface WorkEntry {
  readonly job: string
  readonly service: string
  readonly caller: string
  /** Wall-clock ms. */
  readonly created: number
  readonly due: number
  /** Number of the job's items for the service. */
  readonly items: number
}
