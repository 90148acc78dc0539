import { hashRegistryEntry } from './hash-registry-entry.js'
import { mergeRegistryEntries } from './merge-registry-entries.js'
import type { RegistryEntry } from './registry-entry.js'

/** Number of groups of jobs that are compared separately. */
const BUCKETS = 16
const DIGEST_RANGE = 2 ** 32
/** How long removed jobs are remembered, ms; otherwise another daemon's outdated entry would restore them. */
const REMOVED_KEEP = 600_000

interface IndexedEntry { readonly entry: RegistryEntry, readonly bucket: number, readonly key: number }

/**
 * The entries of the job registry, comparable with those of another daemon without sending them: each entry has a key, a hash of its
 * contents, and each bucket of jobs a digest, the sum of its keys.
 */
export class RegistryEntries {
  private readonly entries = new Map<string, IndexedEntry>()

  get (id: string): RegistryEntry | undefined {
    return this.entries.get(id)?.entry
  }

  list (): readonly RegistryEntry[] {
    return [...this.entries.values()].map(({ entry }) => entry)
  }

  /** Merges an entry into the one held. Returns whether that changed it. */
  merge (entry: RegistryEntry): boolean {
    const known = this.entries.get(entry.id)
    const merged = known === undefined ? entry : mergeRegistryEntries(known.entry, entry)
    const key = hashRegistryEntry(merged)
    if (known?.key === key) return false
    this.entries.set(entry.id, { entry: merged, bucket: known?.bucket ?? findBucket(entry.id), key })
    return true
  }

  /** Forgets jobs that were removed long ago. `date` is in wall-clock ms. */
  dropExpired (date: number): void {
    for (const [id, { entry }] of this.entries) if (isExpired(entry, date)) this.entries.delete(id)
  }

  listDigests (): readonly number[] {
    const digests = Array.from({ length: BUCKETS }, () => 0)
    for (const { bucket, key } of this.entries.values()) digests[bucket] = (digests[bucket]! + key) % DIGEST_RANGE
    return digests
  }

  /** Lists the buckets whose digests differ from another daemon's. */
  listDifferences (digests: readonly number[]): readonly number[] {
    return this.listDigests().flatMap((digest, bucket) => digest === digests[bucket] ? [] : [bucket])
  }

  listKeys (buckets: readonly number[]): readonly number[] {
    return this.listIn(buckets).map(({ key }) => key)
  }

  /** Lists the entries of the buckets whose keys aren't among `keys`. */
  listOthers (buckets: readonly number[], keys: ReadonlySet<number>): readonly RegistryEntry[] {
    return this.listIn(buckets).filter(({ key }) => !keys.has(key)).map(({ entry }) => entry)
  }

  /** Lists the ids of the jobs with these keys. */
  findIds (keys: ReadonlySet<number>): readonly string[] {
    return [...this.entries].filter(([, { key }]) => keys.has(key)).map(([id]) => id)
  }

  private listIn (buckets: readonly number[]): readonly IndexedEntry[] {
    return [...this.entries.values()].filter(({ bucket }) => buckets.includes(bucket))
  }
}

function findBucket (id: string): number {
  let sum = 0
  for (let i = 0; i < id.length; i++) sum = (sum * 31 + id.charCodeAt(i)) % DIGEST_RANGE
  return sum % BUCKETS
}

function isExpired ({ removedAt = Infinity }: RegistryEntry, date: number): boolean {
  return date > removedAt + REMOVED_KEEP
}
