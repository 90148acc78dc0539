import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'

/** Removed names that are remembered, so that old news doesn't bring them back; the oldest go first. */
const MAX_REMOVED = 2_000

interface Held<T> { readonly version: number, readonly value: T | undefined }

/**
 * The objects of one kind as last heard, from the store or from daemons that watch it. Each object only moves to higher
 * versions, so that news may come late, twice and in any order. Values that can't be read are `undefined`.
 */
export class StoreMirror<T> {
  /** Where a watch goes on; -1 before the first. */
  cursor = -1
  private readonly held = new Map<string, Held<T>>()
  private readonly removed = new Map<string, number>()

  /** The readable objects by name. */
  list (): ReadonlyMap<string, T> {
    return new Map([...this.held].flatMap(([name, { value }]) => value === undefined ? [] : [[name, value]]))
  }

  /** Whether there is a readable object of the name. */
  has (name: string): boolean {
    return this.held.get(name)?.value !== undefined
  }

  /** Every object with its version, to tell another daemon. */
  copy (kind: string): WatchBatch<T> {
    return { revision: this.cursor, changed: [...this.held].map(([name, { version, value }]) => ({ kind, name, version, value: value as T })), deleted: [] }
  }

  /** Takes a batch of the store's own; gives back the names whose objects changed or went. */
  apply (batch: WatchBatch<T>): readonly string[] {
    const names = this.merge(batch)
    if (batch.whole === true) {
      const present = new Set(batch.changed.map(({ name }) => name))
      const gone = [...this.held].filter(([name, { version }]) => !present.has(name) && version <= batch.revision).map(([name]) => name)
      for (const name of gone) this.remove(name, batch.revision)
      names.push(...gone)
    }
    this.cursor = batch.whole === true ? batch.revision : Math.max(this.cursor, batch.revision)
    return names
  }

  /** Takes what another daemon has heard, which moves no cursor. */
  merge ({ revision, changed, deleted }: WatchBatch<T>): string[] {
    const names = changed.filter(object => this.put(object)).map(({ name }) => name)
    for (const name of deleted) {
      const known = this.held.get(name)
      if (known !== undefined && known.version <= revision) names.push(name)
      this.remove(name, revision)
    }
    return names
  }

  private put ({ name, version, value }: StoredObject<T>): boolean {
    if (version <= (this.held.get(name)?.version ?? 0) || version <= (this.removed.get(name) ?? 0)) return false
    this.held.set(name, { version, value })
    return true
  }

  private remove (name: string, revision: number): void {
    const known = this.held.get(name)
    if (known !== undefined && known.version > revision) return
    this.held.delete(name)
    this.removed.delete(name)
    this.removed.set(name, revision)
    for (const oldest of this.removed.keys()) {
      if (this.removed.size <= MAX_REMOVED) break
      this.removed.delete(oldest)
    }
  }
}
