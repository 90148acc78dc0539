const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const OPEN_LIST = 0x5b
const OPEN_OBJECT = 0x7b

/**
 * Whether a JSON text holds more than about `limit` values. Parsed, each takes some ten bytes or more, however short its text is.
 *
 * @example
 * hasMoreValues(Buffer.from('[1,2,3]'), 2) // true
 */
export function hasMoreValues (json: Buffer, limit: number): boolean {
  let count = 0
  for (let at = 0; at < json.length; at++) {
    const byte = json[at]
    if (byte === QUOTE) at = findStringEnd(json, at + 1)
    else if ((byte === COMMA || byte === OPEN_LIST || byte === OPEN_OBJECT) && ++count > limit) return true
  }
  return false
}

/** Returns the index of the quote that ends a string, or the length of a text that ends before. */
function findStringEnd (json: Buffer, start: number): number {
  for (let end = json.indexOf(QUOTE, start); end >= 0; end = json.indexOf(QUOTE, end + 1)) {
    let first = end
    while (first > start && json[first - 1] === BACKSLASH) first--
    if ((end - first) % 2 === 0) return end
  }
  return json.length
}
