import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'

/** Removed names that are remembered, so that old news doesn't bring them back; the oldest go first. */
const MAX_REMOVED = 2_000

interface MirroredObject<T> { readonly version: number, readonly value: T | undefined }

/**
 * The objects of one kind as last heard, from the store or from daemons that watch it. Each object only moves to higher
 * versions, so that news may come late, twice and in any order. Values that can't be read are `undefined`.
 */
export class StoreMirror<T> {
  /** Where a watch goes on; -1 before the first. */
  cursor = -1
  /** The revision up to which no change is missing; -1 while that isn't known. */
  completeRevision = -1
  /** The revision since which every removal is remembered. */
  private removalsKnownSince = Infinity
  private readonly entries = new Map<string, MirroredObject<T>>()
  private readonly removed = new Map<string, number>()

  /** The readable objects by name. */
  list (): ReadonlyMap<string, T> {
    return new Map([...this.entries].flatMap(([name, { value }]) => value === undefined ? [] : [[name, value]]))
  }

  /** Whether there is a readable object of the name. */
  isPresent (name: string): boolean {
    return this.entries.get(name)?.value !== undefined
  }

  /** What a daemon that lacks nothing up to `revision` needs to lack nothing that is known here. */
  copySince (kind: string, revision: number): WatchBatch<T> {
    const objects = [...this.entries].map(([name, { version, value }]) => ({ kind, name, version, value: value as T }))
    if (revision < this.removalsKnownSince) return { revision: this.completeRevision, changed: objects, deleted: [], whole: this.completeRevision >= 0 }
    const deleted = [...this.removed].filter(([name, at]) => at > revision && !this.entries.has(name)).map(([name]) => name)
    return { revision: this.completeRevision, after: revision, changed: objects.filter(({ version }) => version > revision), deleted }
  }

  /** Takes a batch of the store's own; gives back the names whose objects changed or went. */
  apply (batch: WatchBatch<T>): readonly string[] {
    const names = this.merge({ ...batch, after: this.cursor })
    this.cursor = batch.whole === true ? batch.revision : Math.max(this.cursor, batch.revision)
    return names
  }

  /** Takes what another daemon has heard, which moves no cursor; gives back the names whose objects changed or went. */
  merge (batch: WatchBatch<T>): readonly string[] {
    const { revision, changed, deleted, whole = false, after = Infinity, known = [] } = batch
    const names = changed.filter(object => this.put(object)).map(({ name }) => name)
    const gone = whole ? this.listAbsent(batch) : deleted
    names.push(...gone.filter(name => (this.entries.get(name)?.version ?? Infinity) <= revision))
    for (const name of gone) this.remove(name, revision)
    if (whole && revision > this.completeRevision) this.removalsKnownSince = revision
    if (whole || (after <= this.completeRevision && known.every(object => this.isCurrent(object)))) this.completeRevision = Math.max(this.completeRevision, revision)
    return names
  }

  /** Whether an object is known as it was at a version, or later. */
  private isCurrent ({ name, version }: Pick<StoredObject, 'name' | 'version'>): boolean {
    return version <= Math.max(this.entries.get(name)?.version ?? 0, this.removed.get(name) ?? 0)
  }

  /** What a whole batch doesn't name and isn't newer than it. */
  private listAbsent ({ revision, changed }: WatchBatch<T>): readonly string[] {
    const present = new Set(changed.map(({ name }) => name))
    return [...this.entries].filter(([name, { version }]) => !present.has(name) && version <= revision).map(([name]) => name)
  }

  private put ({ name, version, value }: StoredObject<T>): boolean {
    if (this.isCurrent({ name, version })) return false
    this.entries.set(name, { version, value })
    return true
  }

  private remove (name: string, revision: number): void {
    const known = this.entries.get(name)
    if (known !== undefined && known.version > revision) return
    this.entries.delete(name)
    this.removed.delete(name)
    this.removed.set(name, revision)
    for (const [oldest, at] of this.removed) {
      if (this.removed.size <= MAX_REMOVED) break
      this.removed.delete(oldest)
      this.removalsKnownSince = Math.max(this.removalsKnownSince, at)
    }
  }
}
