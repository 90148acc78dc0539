import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'

/** Limit of remembered removals, which keep stale changes from restoring a removed object; the oldest are dropped first. */
const MAX_REMOVED = 2_000

interface MirroredObject<T> { readonly version: number, readonly value: T | undefined }

/**
 * A copy of the objects of one kind, updated from the store or from daemons that watch it. An object only moves to higher
 * versions, so that changes may arrive late, twice and in any order. Values that can't be decoded are `undefined`.
 */
export class StoreMirror<T> {
  /** The revision from which to resume the watch; -1 before the first batch. */
  cursor = -1
  /** The revision up to which no change is missing; -1 while none is known to be complete. */
  completeRevision = -1
  /** The revision after which every removal is remembered. */
  private removalsKnownSince = Infinity
  private readonly entries = new Map<string, MirroredObject<T>>()
  private readonly removed = new Map<string, number>()

  /** Returns the decoded objects by name. */
  list (): ReadonlyMap<string, T> {
    return new Map([...this.entries].flatMap(([name, { value }]) => value === undefined ? [] : [[name, value]]))
  }

  /** Returns the decoded object of this name, or undefined if there is none. */
  get (name: string): T | undefined {
    return this.entries.get(name)?.value
  }

  /** Returns the mirror's version of an object; undefined if it holds none. */
  find ({ kind, name }: Pick<StoredObject, 'kind' | 'name'>): StoredObject<T | undefined> | undefined {
    const held = this.entries.get(name)
    return held === undefined ? undefined : { kind, name, ...held }
  }

  /** Returns the changes that a daemon complete up to `revision` needs to catch up with this mirror; all objects where removals since then have been forgotten. */
  copySince (kind: string, revision: number): WatchBatch<T> {
    const objects = [...this.entries].map(([name, { version, value }]) => ({ kind, name, version, value: value as T }))
    if (revision < this.removalsKnownSince) return { revision: this.completeRevision, changed: objects, deleted: [], whole: this.completeRevision >= 0 }
    const deleted = [...this.removed].filter(([name, at]) => at > revision && !this.entries.has(name)).map(([name]) => name)
    return { revision: this.completeRevision, after: revision, changed: objects.filter(({ version }) => version > revision), deleted }
  }

  /** Applies a batch from the store and moves the cursor; returns the names of changed and removed objects. */
  apply (batch: WatchBatch<T>): readonly string[] {
    const names = this.merge({ ...batch, after: this.cursor })
    this.cursor = batch.whole === true ? batch.revision : Math.max(this.cursor, batch.revision)
    return names
  }

  /** Merges a batch from another daemon, without moving the cursor; returns the names of changed and removed objects. */
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

  /**
   * Whether the mirror reflects this version of the object, a later one, or its removal. It reflects every change up to
   * `completeRevision`: an object of an earlier version that isn't held was removed, even if the mirror never held it.
   */
  isCurrent ({ name, version }: Pick<StoredObject, 'name' | 'version'>): boolean {
    return version <= Math.max(this.entries.get(name)?.version ?? 0, this.removed.get(name) ?? 0, this.completeRevision)
  }

  /** Lists held objects that a whole batch doesn't contain and that aren't newer than it. */
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
