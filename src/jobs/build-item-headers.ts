import { dropConnectionHeaders } from '../http/drop-connection-headers.js'
import type { JobItem } from './job-item.js'

/**
 * Returns the headers of an item that are forwarded to its server, with names in lower case: all but those that concern a single
 * connection or frame the body, which each send has of its own.
 */
export function buildItemHeaders ({ headers }: Pick<JobItem, 'headers'>): Record<string, string> {
  const named = Object.fromEntries(Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value]))
  const { 'content-length': _length, expect: _expect, ...passed } = dropConnectionHeaders(named)
  return passed as Record<string, string>
}
