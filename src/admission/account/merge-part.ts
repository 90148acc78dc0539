import type { ObjectStore } from '../../store/object-store.js'
import type { StoredObject } from '../../store/stored-object.js'
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
 * Closes a part, adds it to its day, shard by shard, and deletes it. Each shard names the parts that it holds in the same write
 * as the totals, so that a daemon that stops half way, or two daemons at once, add nothing twice. Returns whether it is done;
 * if not, a later call continues.
 *
 * The run may only have been paused. If its part were folded while open, the run would continue writing to it, and what it
 * wrote after a shard was updated would be lost: a shard that names the part replaces it. Closing the part by a conditional
 * update fixes its final state, which every daemon folds, and the next write of the run fails and begins a new part.
 */
export async function mergePart (store: ObjectStore, part: StoredPart): Promise<boolean> {
  const closed = await closePart(store, part)
  if (closed === undefined) return false
  for (const added of splitPart(closed)) if (!await addToDay(store, added, part.name)) return false
  return (await store.delete(PART, part.name, closed.version, 'background')).ok
}

/** Returns the closed part, or undefined if the part was written since it was read or the platform didn't confirm the update. */
async function closePart (store: ObjectStore, part: StoredPart): Promise<StoredPart | undefined> {
  const { name, version, value } = part
  if (value.closed) return part
  const closed = { ...value, closed: true, mayMiss: estimateMissing(value, value.longestGap) }
  const written = await store.put(PART, name, closed, version, 'background')
  return written.ok ? { ...part, version: written.val.version, value: closed } : undefined
}

/** Splits a part by the shards it is added to. Figures that are not by caller go to the shard of its own name. */
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
