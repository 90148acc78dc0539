import { encodeSpoolLine } from './encode-spool-line.js'
import type { SpoolEntry } from './spool-entry.js'

/**
 * Decodes a spool file: returns the entries with a valid checksum, and the number of invalid lines. A process that
 * crashes during a write leaves a torn line; without the checksum it could be read as a truncated result.
 */
export function decodeSpool (text: string): { readonly entries: readonly SpoolEntry[], readonly torn: number } {
  const entries: SpoolEntry[] = []
  let torn = 0
  for (const line of text.split('\n')) {
    const entry = line === '' ? undefined : decodeLine(line)
    if (entry !== undefined) entries.push(entry)
    else if (line !== '') torn++
  }
  return { entries, torn }
}

function decodeLine (line: string): SpoolEntry | undefined {
  try {
    const entry = JSON.parse(line.slice(line.indexOf(' ') + 1))
    return encodeSpoolLine(entry) === `${line}\n` ? entry : undefined
  } catch {
    return undefined
  }
}
