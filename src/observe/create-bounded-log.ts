import winston from 'winston'
import { BoundedStream } from './bounded-stream.js'
import { LogRateLimiter } from './log-rate-limiter.js'
import type { LogSink } from './log-sink.js'

const STDOUT = 1
const SUMMARY_PERIOD = 1_000

/**
 * A log on standard output through winston, one JSON object a line, bounded and never waiting for its reader. Lines at
 * the levels `error` and `warn` aren't left out for their number; what is left out is summed once a second.
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
    if (dropped.size > 0 || stream.dropped > 0) logger.log('warn', 'left lines out', { part: 'log', left: Object.fromEntries(dropped), unread: stream.dropped })
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
