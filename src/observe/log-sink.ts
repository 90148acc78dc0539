/** Where log lines go. `part` is the fixed prefix; the sentence is short and ends without a full stop. */
export interface LogSink {
  write (level: 'error' | 'warn' | 'info' | 'debug', part: string, message: string, fields?: Readonly<Record<string, unknown>>): void
}
