/** One line of a daemon's log, and where it stands. */
export interface LogLine {
  readonly file: string
  /** Of the line within its file, from 1. */
  readonly number: number
  /** Ms since 1970 by the clock of its instance. */
  readonly time: number
  readonly instance: string
  readonly level: string
  readonly part: string
  readonly message: string
  /** All else that the line says. */
  readonly fields: Readonly<Record<string, unknown>>
}
