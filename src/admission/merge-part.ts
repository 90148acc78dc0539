import type { ObjectStore } from '../platform/object-store.js'
import type { StoredObject } from '../platform/stored-object.js'
import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'
import type { AccountRows } from './account-rows.js'
import { addRows } from './add-rows.js'
import { addTimes } from './add-times.js'
import { estimateMissing } from './estimate-missing.js'
import { findShard } from './find-shard.js'

const PART = 'account'
const DAY = 'account-day'

/**
 * Adds a part to its day, shard by shard, and deletes it. Each shard names the parts that it holds, in the same write
 * as the sums: whoever stops half way, or does it at the same time as another, adds nothing twice. Says whether it is
 * done; if not, a later call goes on.
 */
export async function mergePart (store: ObjectStore, { name, version, value }: StoredObject<AccountPart>): Promise<boolean> {
  const byShard = new Map<number, AccountRows>([[findShard(name), {}]])
  for (const [key, counts] of Object.entries(value.rows)) byShard.set(findShard(key), { ...byShard.get(findShard(key)), [key]: counts })
  for (const [shard, rows] of byShard) {
    const isOwn = shard === findShard(name)
    const mayMiss = isOwn && !value.closed ? estimateMissing(value, value.longestGap) : 0
    if (!await addToDay(store, { day: value.day, shard, rows, times: isOwn ? value.times : {}, folded: [name], mayMiss })) return false
  }
  return (await store.delete(PART, name, version, 'background')).ok
}

async function addToDay (store: ObjectStore, added: AccountDay): Promise<boolean> {
  const name = `${added.day}.${added.shard}`
  const read = await store.get<AccountDay>(DAY, name, 'background')
  if (read.err && read.val.type !== 'missing') return false
  const none: AccountDay = { ...added, rows: {}, times: {}, folded: [], mayMiss: 0 }
  const { version, value: present } = read.ok ? read.val : { version: 0, value: none }
  if (present.folded.includes(added.folded[0]!)) return true
  const sum: AccountDay = {
    ...present,
    rows: addRows(present.rows, added.rows),
    times: addTimes(present.times, added.times),
    folded: [...present.folded, ...added.folded],
    mayMiss: present.mayMiss + added.mayMiss
  }
  return (await store.put(DAY, name, sum, version, 'background')).ok
}
