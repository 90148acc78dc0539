/** Lines that a trace counts instead of showing: routine lines and repetitions. */
export interface OmittedLines {
  readonly instance: string
  /** The log message with its part, and its reason if it has one. */
  readonly what: string
  /** The server of the trace that the lines name. */
  readonly server?: string
  readonly count: number
}
