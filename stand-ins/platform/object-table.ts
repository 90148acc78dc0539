import type { StoredObject } from '../../src/platform/stored-object.js'

interface Row { version: number, revision: number, value: unknown, writeId?: string }

interface Change { readonly kind: string, readonly name: string, readonly revision: number, readonly object?: StoredObject }

/** The objects of the stand-in platform: conditional writes, listings and changes since a revision. */
export class ObjectTable {
  private readonly kinds = new Map<string, Map<string, Row>>()
  private readonly changes: Change[] = []
  private readonly listeners = new Set<() => void>()
  revision = 0

  read (kind: string, name: string): (StoredObject & { writeId?: string }) | undefined {
    const row = this.kinds.get(kind)?.get(name)
    return row && { kind, name, version: row.version, value: row.value, writeId: row.writeId }
  }

  /** Writes when the present version is `version` (0: absent); gives back the present version otherwise. */
  write (kind: string, name: string, value: unknown, version: number, writeId?: string): StoredObject | number {
    const rows = this.kinds.get(kind) ?? new Map<string, Row>()
    this.kinds.set(kind, rows)
    const present = rows.get(name)?.version ?? 0
    if (present !== version) return present
    this.revision++
    rows.set(name, { version: this.revision, revision: this.revision, value, writeId })
    const object = { kind, name, version: this.revision, value }
    this.record({ kind, name, revision: this.revision, object })
    return object
  }

  remove (kind: string, name: string, version: number): boolean {
    const rows = this.kinds.get(kind)
    if (rows?.get(name)?.version !== version) return false
    rows.delete(name)
    this.revision++
    this.record({ kind, name, revision: this.revision })
    return true
  }

  list (kind: string, prefix: string, after: string, limit: number): StoredObject[] {
    return [...this.kinds.get(kind)?.entries() ?? []]
      .filter(([name]) => name.startsWith(prefix) && name > after)
      .sort(([a], [b]) => a < b ? -1 : 1)
      .slice(0, limit)
      .map(([name, row]) => ({ kind, name, version: row.version, value: row.value }))
  }

  /** The latest change of each object of `kind` after `revision`; everything there is when it is negative. */
  changesSince (kind: string, revision: number): { changed: StoredObject[], deleted: string[] } {
    if (revision < 0) return { changed: this.list(kind, '', '', Infinity), deleted: [] }
    const latest = new Map<string, Change>()
    for (const change of this.changes) {
      if (change.kind === kind && change.revision > revision) latest.set(change.name, change)
    }
    const all = [...latest.values()]
    return {
      changed: all.flatMap(({ object }) => object === undefined ? [] : [object]),
      deleted: all.filter(({ object }) => object === undefined).map(({ name }) => name)
    }
  }

  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  private record (change: Change): void {
    this.changes.push(change)
    for (const listener of this.listeners) listener()
  }
}
