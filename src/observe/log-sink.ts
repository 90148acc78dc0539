/** Receives log lines. `part` names the component that logs; `message` is short and has no final full stop. */
export interface LogSink {
  write (level: 'error' | 'warn' | 'info' | 'debug', part: string, message: string, fields?: Readonly<Record<string, unknown>>): void
}
