/** Lines that are counted and not shown: usual ones of others' requests, and repetitions. */
export interface OmittedLines {
  readonly instance: string
  readonly what: string
  /** Of the servers of the course. */
  readonly server?: string
  readonly count: number
}
