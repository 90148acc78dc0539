import type { Account } from '../../admission/account/account.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { Chunk } from './chunk.js'
import type { ItemResult } from '../results/item-result.js'
import { readResults } from '../results/read-results.js'

interface CountedChunk { readonly caller: string, readonly service: string, readonly chunk: Chunk }

/**
 * Counts each recorded result of a closed chunk for the account. Called only by the daemon process that closed the
 * chunk, so that each result is counted once even if several daemons have recorded some.
 */
export async function countChunk (store: ObjectStore, account: Account, { caller, service, chunk }: CountedChunk): Promise<void> {
  const results = (await readResults(store, chunk)).unwrapOr(chunk.results)
  for (const result of Object.values(results)) {
    if (result.type === 'failed') account.count(caller, service, 'batch', { type: 'failed', cause: result.cause })
    else account.count(caller, service, 'batch', { type: 'answered', tokens: countTokens(result) })
  }
}

function countTokens (result: ItemResult): number {
  const usage = result.type === 'completed' ? (result.body as { usage?: { completion_tokens?: unknown } } | null)?.usage : undefined
  return typeof usage?.completion_tokens === 'number' ? usage.completion_tokens : 0
}
