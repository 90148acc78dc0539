import winston from 'winston'
import type { LogSink } from './log-sink.js'

/** Creates a log on standard error, as text (`part: message key=value`) or one JSON object per line. */
export function createLog ({ level = 'info', format = 'text', instance = '' }: { readonly level?: string, readonly format?: 'text' | 'json', readonly instance?: string } = {}): LogSink {
  const text = winston.format.printf(({ level, message, part, timestamp, ...fields }) => {
    const rest = Object.entries(fields).map(([key, value]) => ` ${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join('')
    return `${String(timestamp)} ${level} ${String(part)}: ${String(message)}${rest}`
  })
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), format === 'json' ? winston.format.json() : text),
    defaultMeta: format === 'json' ? { instance } : {},
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
  return { write: (level, part, message, fields = {}) => logger.log(level, message, { part, ...fields }) }
}
