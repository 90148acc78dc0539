import { createHash } from 'node:crypto'
import { accountLimits } from './account-limits.js'

/** The shard of a day into which a row or a part's own figures go, by its caller or name. */
export function findShard (key: string): number {
  return createHash('sha256').update(key.split('/')[0]!).digest().readUInt32BE(0) % accountLimits.shards
}
