import { createHash } from 'node:crypto'
import { accountLimits } from './account-limits.js'

/** Returns the shard of a day that holds a row, by its caller, or the figures of a part that are not by caller, by its name. */
export function findShard (key: string): number {
  return createHash('sha256').update(key.split('/')[0]!).digest().readUInt32BE(0) % accountLimits.shards
}
