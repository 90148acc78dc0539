import type { Item } from './item.js'

/** Splits items into chunks of at most `maxItems` and about `maxBytes` of JSON each. */
export function splitItems (items: readonly Item[], { maxItems = 200, maxBytes = 250_000 } = {}): readonly (readonly Item[])[] {
  const chunks: Item[][] = []
  let bytes = Infinity
  for (const item of items) {
    const size = Buffer.byteLength(JSON.stringify(item))
    if (bytes + size > maxBytes || chunks.at(-1)!.length >= maxItems) {
      chunks.push([])
      bytes = 0
    }
    chunks.at(-1)!.push(item)
    bytes += size
  }
  return chunks
}
