import { createHash } from 'node:crypto'

/**
 * The handle of the KV cache of a prompt and `tokens` answer tokens. Any engine takes it in with a request for the
 * same prompt, resumed from as many tokens.
 */
export function encodeKvHandle (prompt: string, tokens: number): string {
  return `kv-${createHash('sha256').update(prompt).digest('hex').slice(0, 24)}-${tokens}`
}
