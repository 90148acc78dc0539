import { createHash } from 'node:crypto'

/** Tells apart what runs went on from: the tokens given to a run, as the reader of its answer has them. */
export function hashTokens (tokens: readonly string[]): string {
  return createHash('sha256').update(tokens.join('')).digest('hex').slice(0, 12)
}
