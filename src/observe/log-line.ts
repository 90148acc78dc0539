/** One parsed line of a daemon's log, with its position. */
export interface LogLine {
  readonly file: string
  /** Line number within the file, from 1. */
  readonly number: number
  /** Ms since 1970 by the clock of the instance. */
  readonly time: number
  readonly instance: string
  readonly level: string
  readonly part: string
  readonly message: string
  /** All remaining fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>
}
