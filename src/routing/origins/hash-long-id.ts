import { createHash } from 'node:crypto'

/** Longest id of a stream under which its origin is kept, characters. */
const MAX_ID = 256

/** Returns the id under which the origin of a stream is kept: callers choose ids of any length, and thousands are kept. */
export function hashLongId (id: string): string {
  return id.length <= MAX_ID ? id : createHash('sha256').update(id).digest('hex')
}
