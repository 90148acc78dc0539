import { createHash } from 'node:crypto'

const HASH_LENGTH = 32

/** The name of content: the first 128 bits of its SHA-256, in hex. */
export function hashContent (content: unknown): string {
  return createHash('sha256').update(JSON.stringify(content)).digest('hex').slice(0, HASH_LENGTH)
}
