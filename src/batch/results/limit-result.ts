import type { ItemResult } from './item-result.js'

/** A result and the entries written with it must fit into the 1 MB that the platform allows for a value. */
const MAX_RESULT_BYTES = 400_000

/** Returns the result, or a failure if the result is too large to be stored. */
export function limitResult (result: ItemResult): ItemResult {
  const bytes = Buffer.byteLength(JSON.stringify(result))
  if (bytes <= MAX_RESULT_BYTES) return result
  return { type: 'failed', cause: 'result-too-large', detail: `the answer has ${bytes} bytes; the limit is ${MAX_RESULT_BYTES}` }
}
