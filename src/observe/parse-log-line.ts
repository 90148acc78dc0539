import type { LogLine } from './log-line.js'

/**
 * Parses a log line. A prefix written by a log collector is skipped. Returns undefined if there is no JSON object, or if it
 * lacks a field that every log line has.
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
