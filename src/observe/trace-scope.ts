/** What the course of an id touched. */
export interface TraceScope {
  readonly servers: ReadonlySet<string>
  /** By instance: the times of the course there, ms since 1970 by its clock, in order. */
  readonly timesByInstance: ReadonlyMap<string, readonly number[]>
}
