import type { ObjectStore } from '../store/object-store.js'
import type { StoredObject } from '../store/stored-object.js'
import type { AccountDay } from './account-day.js'
import type { AccountPart } from './account-part.js'
import type { AccountRows } from './account-rows.js'
import { addRows } from './add-rows.js'
import { addTimes } from './add-times.js'
import { estimateMissing } from './estimate-missing.js'
import { findShard } from './find-shard.js'

const PART = 'account'
const DAY = 'account-day'

type StoredPart = StoredObject<AccountPart>

/**
 * Closes a part, adds it to its day, shard by shard, and deletes it. Each shard names the parts that it holds, in the
 * same write as the sums: whoever stops half way, or does it at the same time as another, adds nothing twice. Says
 * whether it is done; if not, a later call goes on.
 *
 * The run may only have stood still. Were its part folded open, it would go on writing into it, and what it writes after
 * a shard was written would be in none, as shards that name the part count in its place. Closed by a conditional update,
 * the part has one last state: whoever folds, folds that, and the run's next write fails and begins a new part.
 */
export async function mergePart (store: ObjectStore, part: StoredPart): Promise<boolean> {
  const closed = await closePart(store, part)
  if (closed === undefined) return false
  for (const added of splitPart(closed)) if (!await addToDay(store, added, part.name)) return false
  return (await store.delete(PART, part.name, closed.version, 'background')).ok
}

/** Undefined where it was written since it was read, or the platform doesn't say that it is closed. */
async function closePart (store: ObjectStore, part: StoredPart): Promise<StoredPart | undefined> {
  const { name, version, value } = part
  if (value.closed) return part
  const closed = { ...value, closed: true, mayMiss: estimateMissing(value, value.longestGap) }
  const written = await store.put(PART, name, closed, version, 'background')
  return written.ok ? { ...part, version: written.val.version, value: closed } : undefined
}

/** What it adds to each shard; what it isn't by caller goes to its own one. */
function splitPart ({ name, value }: StoredPart): readonly AccountDay[] {
  const { day, times, sample, longestGap } = value
  const own = findShard(name)
  const byShard = new Map<number, AccountRows>([[own, {}]])
  for (const [key, counts] of Object.entries(value.rows)) byShard.set(findShard(key), { ...byShard.get(findShard(key)), [key]: counts })
  return [...byShard].map(([shard, rows]) => {
    const added = { day, shard, rows, folded: [name] }
    return shard === own ? { ...added, times, samples: { [name]: sample }, mayMiss: estimateMissing(value, longestGap) } : { ...added, times: {}, mayMiss: 0 }
  })
}

async function addToDay (store: ObjectStore, added: AccountDay, part: string): Promise<boolean> {
  const name = `${added.day}.${added.shard}`
  const read = await store.get<AccountDay>(DAY, name, 'background')
  if (read.err && read.val.type !== 'missing') return false
  const none: AccountDay = { ...added, rows: {}, times: {}, folded: [], samples: {}, mayMiss: 0 }
  const { version, value: present } = read.ok ? read.val : { version: 0, value: none }
  if (present.folded.includes(part)) return true
  const sum: AccountDay = {
    ...present,
    rows: addRows(present.rows, added.rows),
    times: addTimes(present.times, added.times),
    folded: [...present.folded, ...added.folded],
    samples: { ...present.samples, ...added.samples },
    mayMiss: present.mayMiss + added.mayMiss
  }
  return (await store.put(DAY, name, sum, version, 'background')).ok
}
