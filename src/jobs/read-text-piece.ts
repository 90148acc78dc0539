import { countJsonBytes } from './count-json-bytes.js'

const FIRST_LOW_SURROGATE = 0xdc00
const LAST_LOW_SURROGATE = 0xdfff

/** Returns as much of `text` from position `from` on as has at most `limit` bytes in JSON, one character at least. Characters outside the BMP stay whole. */
export function readTextPiece (text: string, from: number, limit: number): string {
  for (let length = Math.min(limit, text.length - from); ;) {
    const part = text.slice(from, findBoundary(text, from, from + length))
    const size = countJsonBytes(part)
    if (size <= limit || part.length <= 2) return part
    length = Math.max(1, Math.floor(part.length * limit / size))
  }
}

/** Returns `end`, or the position before it where `end` lies within a surrogate pair. */
function findBoundary (text: string, from: number, end: number): number {
  const code = text.charCodeAt(end)
  const isWithin = code >= FIRST_LOW_SURROGATE && code <= LAST_LOW_SURROGATE
  return isWithin ? (end - 1 > from ? end - 1 : end + 1) : end
}
