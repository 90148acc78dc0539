import { createHash } from 'node:crypto'
import type { SpoolEntry } from './spool-entry.js'

/** Hex digits. */
const SUM_LENGTH = 16

/** Encodes one line of a spool file: a checksum, a space, and the entry as JSON. */
export function encodeSpoolLine (entry: SpoolEntry): string {
  const text = JSON.stringify(entry)
  return `${createHash('sha256').update(text).digest('hex').slice(0, SUM_LENGTH)} ${text}\n`
}
