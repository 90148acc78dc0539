import { BoundedStream } from './bounded-stream.js'
import { formatLogLine } from './format-log-line.js'
import { LogRateLimiter } from './log-rate-limiter.js'
import type { LogSink } from './log-sink.js'

const STDOUT = 1
/** Ms between two summaries of dropped lines. */
const SUMMARY_PERIOD = 1_000

/**
 * Creates a log on standard output, one JSON object per line, which is rate-limited and never blocks on its reader. Lines of
 * the levels `error` and `warn` are not rate-limited, those of `debug` aren't written. The number of dropped lines is logged once a second.
 */
export function createBoundedLog ({ instance }: { readonly instance: string }): LogSink {
  const stream = new BoundedStream(STDOUT, process.stdout)
  const limiter = new LogRateLimiter()
  const write: LogSink['write'] = (level, part, message, fields = {}) => {
    if (level === 'debug') return
    if (level === 'info' && !limiter.tryAcquire(`${part}: ${message}`, performance.now())) return
    stream.write(formatLogLine({ level, message, timestamp: new Date(), instance, part }, fields))
  }
  const summarize = (): void => {
    const dropped = limiter.takeDropped()
    if (dropped.size > 0 || stream.dropped > 0) write('warn', 'log', 'dropped log lines', { left: Object.fromEntries(dropped), unread: stream.dropped })
    stream.dropped = 0
  }
  setInterval(summarize, SUMMARY_PERIOD).unref()
  return { write }
}
