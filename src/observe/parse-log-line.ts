import type { LogLine } from './log-line.js'

/**
 * Parses a line of a log. What a collector wrote before the JSON object is passed over; `undefined` where there is none, or
 * where it lacks a field that each line of a log has.
 */
export function parseLogLine (text: string, { file, number }: Pick<LogLine, 'file' | 'number'>): LogLine | undefined {
  const value = parseObject(text.slice(Math.max(0, text.indexOf('{'))))
  if (value === undefined) return undefined
  const { timestamp, instance, level, part, message, ...fields } = value
  const time = typeof timestamp === 'string' ? Date.parse(timestamp) : NaN
  if (Number.isNaN(time) || !isText(instance) || !isText(level) || !isText(part) || !isText(message)) return undefined
  return { file, number, time, instance, level, part, message, fields }
}

function parseObject (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : undefined
  } catch {
    return undefined
  }
}

function isText (value: unknown): value is string {
  return typeof value === 'string'
}
