import { validateHeaderName, validateHeaderValue } from 'node:http'
import { buildItemHeaders } from './build-item-headers.js'
import { countJsonBytes } from './count-json-bytes.js'
import type { JobItem } from './job-item.js'

/** A path with characters that a request line can hold. */
const PATH = /^\/[\x21-\xff]*$/

/** A body as callers encode it; others could take several times their length in the store. */
const BODY = /^[\r\n\x20-\x7e]*$/
/** Most bytes of an item besides its body: an object of the store holds them beside a piece of the body. */
const MAX_BYTES = 300_000

/** Returns why an item can't be stored or sent to any server, for its caller; undefined if it can. */
export function findItemFault (item: Pick<JobItem, 'id' | 'path' | 'headers'> & Partial<Pick<JobItem, 'body'>>): string | undefined {
  if (!isBody(item.body ?? '')) return 'its body isn\'t in base64'
  if (countJsonBytes({ ...item, body: '' }) > MAX_BYTES) return `it has more than ${MAX_BYTES} bytes besides its body`
  if (!PATH.test(item.path)) return 'its path can\'t stand in a request line'
  if (!isHeader('x-request-id', item.id)) return 'its id can\'t stand in a header'
  const faulty = Object.entries(buildItemHeaders(item)).find(([name, value]) => !isHeader(name, value))
  return faulty === undefined ? undefined : `its header ${JSON.stringify(faulty[0])} can't be sent`
}

function isBody (body: string): boolean {
  return BODY.test(body) && !body.includes('"') && !body.includes('\\')
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
