import { createHash } from 'node:crypto'

/**
 * Encodes the handle of the KV cache of a prompt and `tokens` answer tokens. Any engine imports it with a request for
 * the same prompt, resumed after as many tokens.
 */
export function encodeKvHandle (prompt: string, tokens: number): string {
  return `kv-${createHash('sha256').update(prompt).digest('hex').slice(0, 24)}-${tokens}`
}
