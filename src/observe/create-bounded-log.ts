import winston from 'winston'
import { BoundedStream } from './bounded-stream.js'
import { LogRateLimiter } from './log-rate-limiter.js'
import type { LogSink } from './log-sink.js'

const STDOUT = 1
/** Ms between two summaries of dropped lines. */
const SUMMARY_PERIOD = 1_000

/**
 * Creates a log on standard output, one JSON object per line, which is rate-limited and never blocks on its reader. Lines of
 * the levels `error` and `warn` are not rate-limited. The number of dropped lines is logged once a second.
 */
export function createBoundedLog ({ instance, level = 'info' }: { readonly instance: string, readonly level?: string }): LogSink {
  const stream = new BoundedStream(STDOUT, process.stdout)
  const limiter = new LogRateLimiter()
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: { instance },
    transports: [new winston.transports.Stream({ stream })]
  })
  const summarize = (): void => {
    const dropped = limiter.takeDropped()
    if (dropped.size > 0 || stream.dropped > 0) logger.log('warn', 'dropped log lines', { part: 'log', left: Object.fromEntries(dropped), unread: stream.dropped })
    stream.dropped = 0
  }
  setInterval(summarize, SUMMARY_PERIOD).unref()
  return {
    write: (level, part, message, fields = {}) => {
      if (level !== 'error' && level !== 'warn' && !limiter.tryAcquire(`${part}: ${message}`, performance.now())) return
      logger.log(level, message, { part, ...fields })
    }
  }
}
