import { createHash } from 'node:crypto'

/** Hashes the answer tokens from which a run was resumed, to compare them with those that the caller received. */
export function hashTokens (tokens: readonly string[]): string {
  return createHash('sha256').update(tokens.join('')).digest('hex').slice(0, 12)
}
