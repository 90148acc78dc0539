import { createHash } from 'node:crypto'

const ID_LENGTH = 32

/** Derives an id from `parts`; equal parts give equal ids. */
export function hashId (...parts: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, ID_LENGTH)
}
