/** What the course of an id touched. */
export interface Touched {
  readonly servers: ReadonlySet<string>
  /** By instance: the times of the course there, ms since 1970 by its clock, in order. */
  readonly times: ReadonlyMap<string, readonly number[]>
}
