import type { StoredObject } from '../../src/store/stored-object.js'

interface Change { readonly kind: string, readonly name: string, readonly revision: number, readonly at: number, readonly object?: Row }

type Row = StoredObject & { readonly writeId?: string }

/** The objects of the stand-in platform: conditional writes, listings and changes since a revision. */
export class ObjectTable {
  private readonly kinds = new Map<string, Map<string, Row>>()
  private readonly changes = new Map<string, Change[]>()
  private readonly listeners = new Map<string, Set<() => void>>()
  revision = 0

  /** `date` timestamps each change, for reads of earlier states. */
  constructor (private readonly date: () => number = () => 0) {}

  read (kind: string, name: string): Row | undefined {
    return this.kinds.get(kind)?.get(name)
  }

  /** Returns the object as it was at `time`. */
  readAt (kind: string, name: string, time: number): Row | undefined {
    return this.changes.get(kind)?.findLast(change => change.name === name && change.at <= time)?.object
  }

  /** Writes if the present version is `version` (0: absent); otherwise returns the present version. */
  write (kind: string, name: string, value: unknown, version: number, writeId?: string): StoredObject | number {
    const present = this.read(kind, name)?.version ?? 0
    if (present !== version) return present
    const object = { kind, name, version: ++this.revision, value, writeId }
    const rows = this.kinds.get(kind) ?? new Map<string, Row>()
    this.kinds.set(kind, rows.set(name, object))
    this.record({ kind, name, revision: this.revision, at: this.date(), object })
    return object
  }

  remove (kind: string, name: string, version: number): boolean {
    const rows = this.kinds.get(kind)
    if (rows?.get(name)?.version !== version) return false
    rows.delete(name)
    this.record({ kind, name, revision: ++this.revision, at: this.date() })
    return true
  }

  list (kind: string, prefix: string, after: string, limit: number): StoredObject[] {
    return listPage([...this.kinds.get(kind)?.values() ?? []], prefix, after, limit)
  }

  /** Lists the objects as they were at `time`. */
  listAt (kind: string, prefix: string, after: string, limit: number, time: number): StoredObject[] {
    const latest = indexLatest((this.changes.get(kind) ?? []).filter(({ at }) => at <= time))
    return listPage([...latest.values()].flatMap(({ object }) => object ?? []), prefix, after, limit)
  }

  /** Returns the latest change of each object of `kind` after `revision`; all objects if that is negative. */
  changesSince (kind: string, revision: number): { changed: StoredObject[], deleted: string[] } {
    if (revision < 0) return { changed: this.list(kind, '', '', Infinity), deleted: [] }
    const changes = this.changes.get(kind) ?? []
    const all = [...indexLatest(changes.slice(changes.findLastIndex(change => change.revision <= revision) + 1)).values()]
    return {
      changed: all.flatMap(({ object }) => object ?? []),
      deleted: all.filter(({ object }) => object === undefined).map(({ name }) => name)
    }
  }

  /** Calls `listener` after each change of `kind`; returns a function that removes it. */
  onChange (kind: string, listener: () => void): () => void {
    const listeners = this.listeners.get(kind) ?? new Set()
    this.listeners.set(kind, listeners.add(listener))
    return () => listeners.delete(listener)
  }

  private record (change: Change): void {
    const changes = this.changes.get(change.kind) ?? []
    changes.push(change)
    this.changes.set(change.kind, changes)
    for (const listener of this.listeners.get(change.kind) ?? []) listener()
  }
}

function indexLatest (changes: readonly Change[]): Map<string, Change> {
  return new Map(changes.map(change => [change.name, change]))
}

function listPage (rows: readonly Row[], prefix: string, after: string, limit: number): StoredObject[] {
  return rows
    .filter(({ name }) => name.startsWith(prefix) && name > after)
    .sort((a, b) => a.name < b.name ? -1 : 1)
    .slice(0, limit)
    .map(({ kind, name, version, value }) => ({ kind, name, version, value }))
}
