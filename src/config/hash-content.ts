import { createHash } from 'node:crypto'

const HASH_LENGTH = 32

/** Returns the first 128 bits of the SHA-256 of the content as JSON, in hex; packs are named by it. */
export function hashContent (content: unknown): string {
  return createHash('sha256').update(JSON.stringify(content)).digest('hex').slice(0, HASH_LENGTH)
}
