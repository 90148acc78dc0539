import type { Chunk } from '../chunks/chunk.js'

/** Returns the indexes of the items that have a recorded result. */
export function listRecorded ({ results, parts }: Chunk): ReadonlySet<number> {
  return new Set([...Object.keys(results).map(Number), ...parts.flatMap(({ items }) => items)])
}
