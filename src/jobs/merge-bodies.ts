import type { JobItem } from './job-item.js'
import type { StoredItem } from './stored-item.js'

/** Returns the items whose bodies `splitBodies` has split. */
export function mergeBodies (stored: readonly StoredItem[]): readonly JobItem[] {
  const items: JobItem[] = []
  for (const entry of stored) {
    if ('id' in entry) items.push(entry)
    else items.push(mergeBody(items.pop()!, entry.continued))
  }
  return items
}

function mergeBody (item: JobItem, piece: string): JobItem {
  return { ...item, body: item.body + piece }
}
