import type { ItemResult } from './item-result.js'

/** A result and the batch of writes it goes with have to fit the platform's 1 MB a value. */
const MAX_RESULT_BYTES = 400_000

/** The result, or a failure that says so where it is too large to be kept. */
export function limitResult (result: ItemResult): ItemResult {
  const bytes = Buffer.byteLength(JSON.stringify(result))
  if (bytes <= MAX_RESULT_BYTES) return result
  return { type: 'failed', cause: 'result-too-large', detail: `the answer has ${bytes} bytes; the limit is ${MAX_RESULT_BYTES}` }
}
