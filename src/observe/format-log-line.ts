/** What every line has. */
interface LineHead {
  readonly level: string
  readonly message: string
  readonly timestamp: Date
  /** Name of the daemon. */
  readonly instance: string
  /** Component that logs. */
  readonly part: string
}

/**
 * Returns a line of the log, a JSON object with a line break. Never throws: a line whose fields can't be written says why in their place, since
 * an error about a log line would end the request that it is about.
 *
 * @example
 * formatLogLine({ level: 'info', message: 'starts', timestamp: new Date(), instance: 'd-1', part: 'kernel' }, { role: 'entry' })
 */
export function formatLogLine (head: LineHead, fields: Readonly<Record<string, unknown>>): string {
  try {
    // No field takes the place of what every line has.
    return JSON.stringify({ ...head, ...fields, ...head }, formatLargeInteger) + '\n'
  } catch (error) {
    return JSON.stringify({ ...head, unwritten: (error as Error).message }) + '\n'
  }
}

function formatLargeInteger (_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? String(value) : value
}
