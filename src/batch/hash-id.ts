import { createHash } from 'node:crypto'

const ID_LENGTH = 32

/** An id that follows from `parts`, so that whoever has the same parts means the same object. */
export function hashId (...parts: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, ID_LENGTH)
}
