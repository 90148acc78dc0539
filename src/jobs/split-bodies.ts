import type { JobItem } from './job-item.js'
import type { StoredItem } from './stored-item.js'

/**
 * Splits each body of more than `limit` characters into pieces, which follow their item.
 *
 * @example
 * splitBodies([{ id: 'a', path: '/', headers: {}, body: 'eHh4', tokens: 1 }], 2) // the item with the body 'eH', then { continued: 'h4' }
 */
export function splitBodies (items: readonly JobItem[], limit: number): readonly StoredItem[] {
  return items.flatMap(item => item.body.length <= limit ? [item] : splitBody(item, limit))
}

function splitBody (item: JobItem, limit: number): readonly StoredItem[] {
  const [body = '', ...rest] = Array.from({ length: Math.ceil(item.body.length / limit) }, (_, i) => item.body.slice(i * limit, (i + 1) * limit))
  return [{ ...item, body }, ...rest.map(continued => ({ continued }))]
}
