import { validateHeaderName, validateHeaderValue } from 'node:http'
import { buildItemHeaders } from './build-item-headers.js'
import type { JobItem } from './job-item.js'

/** A path with characters that a request line can hold. */
const PATH = /^\/[\x21-\xff]*$/

/** Returns why the HTTP client can't send an item to any server, for its caller; undefined if it can. */
export function findItemFault (item: Pick<JobItem, 'id' | 'path' | 'headers'>): string | undefined {
  if (!PATH.test(item.path)) return 'its path can\'t stand in a request line'
  if (!isHeader('x-request-id', item.id)) return 'its id can\'t stand in a header'
  const faulty = Object.entries(buildItemHeaders(item)).find(([name, value]) => !isHeader(name, value))
  return faulty === undefined ? undefined : `its header ${JSON.stringify(faulty[0])} can't be sent`
}

function isHeader (name: string, value: string): boolean {
  try {
    validateHeaderName(name)
    validateHeaderValue(name, value)
    return true
  } catch {
    // Thrown for each invalid name or value.
    return false
  }
}
