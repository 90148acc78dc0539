import { Err, Ok, type Result } from 'ts-results'
import type { Item } from './item.js'

const MAX_FINDINGS = 100
const MAX_ITEMS = 100_000
const MAX_LINE_BYTES = 200_000
const MAX_ID_LENGTH = 256

/** An error in a line of a batch file. */
interface LineFinding { readonly line: number, readonly message: string }

/**
 * Parses a batch file with one JSON object a line. Returns the items, or the first 100 errors, each with its line.
 * `check` returns an error message for an item that is invalid for another reason.
 */
export function readItems (text: string, check: (item: Item) => string | undefined = () => undefined): Result<readonly Item[], readonly LineFinding[]> {
  const items: Item[] = []
  const findings: LineFinding[] = []
  const seen = new Map<string, number>()
  let line = 0
  for (const part of listLines(text)) {
    line++
    if (part.trim() === '') continue
    const item = readItem(part)
    const message = typeof item === 'string' ? item : findDuplicate(seen, item.id, line) ?? check(item)
    if (message !== undefined) findings.push({ line, message })
    else items.push(item as Item)
    if (items.length > MAX_ITEMS) findings.push({ line, message: `the file holds more than ${MAX_ITEMS} items` })
    if (findings.length >= MAX_FINDINGS || items.length > MAX_ITEMS) break
  }
  if (items.length + findings.length === 0) findings.push({ line: 1, message: 'the file holds no item' })
  return findings.length > 0 ? Err(findings) : Ok(items)
}

function * listLines (text: string): Generator<string> {
  for (let start = 0; start <= text.length;) {
    const found = text.indexOf('\n', start)
    const end = found < 0 ? text.length : found
    yield text.slice(start, end)
    start = end + 1
  }
}

function findDuplicate (seen: Map<string, number>, id: string, line: number): string | undefined {
  const earlier = seen.get(id)
  if (earlier !== undefined) return `custom_id: ${id} stands on line ${earlier} already`
  seen.set(id, line)
  return undefined
}

function readItem (line: string): Item | string {
  if (Buffer.byteLength(line) > MAX_LINE_BYTES) return `over the limit of ${MAX_LINE_BYTES} bytes an item`
  let value: any
  try {
    value = JSON.parse(line)
  } catch {
    return 'not a JSON object'
  }
  if (!isObject(value)) return 'not a JSON object'
  if (typeof value.custom_id !== 'string' || value.custom_id === '') return 'custom_id: must be a string that is not empty'
  if (value.custom_id.length > MAX_ID_LENGTH) return `custom_id: over ${MAX_ID_LENGTH} characters`
  if (value.method !== 'POST') return 'method: must be POST'
  if (typeof value.url !== 'string') return 'url: must be a string'
  if (!isObject(value.body)) return 'body: must be an object'
  if (value.idempotent !== undefined && typeof value.idempotent !== 'boolean') return 'idempotent: must be true or false'
  return { id: value.custom_id, url: value.url, body: value.body, ...value.idempotent === undefined ? {} : { idempotent: value.idempotent } }
}

function isObject (value: unknown): value is Record<string, any> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
