import { Ok, type Result } from 'ts-results'
import { listPages } from '../../store/list-pages.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import { decodeOrigins } from './decode-origins.js'
import { encodeOrigins } from './encode-origins.js'
import type { OriginGroup } from './origin-group.js'
import type { StoredOrigins } from './stored-origins.js'
import type { StreamOrigin } from './stream-origin.js'
import type { OwnOrigins } from './own-origins.js'

const KIND = 'stream-origins'
const DEFAULTS = 'defaults'
/** Begins the names of the objects with an instance's records. */
const RECORDS = 'records-'

/** Either of the kind's objects: the defaults of all pools, or the records of one instance. */
interface OriginObject {
  readonly pools?: Readonly<Record<string, string>>
  readonly withdrawn?: readonly string[]
  readonly groups?: readonly OriginGroup[]
  readonly incomplete?: readonly string[]
}

/** Origins of streams in the store, where they outlive all daemons: one object for the defaults, and one for each instance's records. */
export class OriginStore {
  private ownVersion = 0

  constructor (private readonly store: ObjectStore, private readonly instance: string) {}

  /** Reads everything that was written before the call. */
  async list (): Promise<Result<StoredOrigins, StoreError>> {
    const defaults = new Map<string, string>()
    const records = new Map<string, StreamOrigin>()
    const withdrawn = new Set<string>()
    const incomplete = new Set<string>()
    for await (const page of listPages<OriginObject>(this.store, KIND, { priority: 'caller' })) {
      if (page.err) return page
      for (const { name, value } of page.val) {
        for (const pool of listNames(value?.withdrawn)) withdrawn.add(pool)
        for (const pool of listNames(value?.incomplete)) incomplete.add(pool)
        if (name === DEFAULTS) for (const [pool, version] of listDefaults(value)) defaults.set(pool, version)
        else for (const [id, origin] of decodeOrigins(value?.groups)) records.set(id, origin)
      }
    }
    return Ok({ defaults, withdrawn, records, incomplete })
  }

  /** Replaces this instance's records; keeps those of its former process and returns them. */
  async putRecords (own: OwnOrigins): Promise<Result<OwnOrigins, StoreError>> {
    const name = `${RECORDS}${this.instance}`
    const written = await this.write(name, own, this.ownVersion)
    if (written.ok || written.val.type !== 'conflict') return written.map(() => ({ records: new Map(), incomplete: [] }))
    const present = await this.store.get<OriginObject>(KIND, name, 'caller')
    if (present.err) return present
    const former = { records: new Map(decodeOrigins(present.val.value?.groups)), incomplete: listNames(present.val.value?.incomplete) }
    const merged = { records: new Map([...former.records, ...own.records]), incomplete: [...new Set([...former.incomplete, ...own.incomplete])] }
    return (await this.write(name, merged, present.val.version)).map(() => former)
  }

  private async write (name: string, { records, incomplete }: OwnOrigins, version: number): Promise<Result<void, StoreError>> {
    const written = await this.store.put<OriginObject>(KIND, name, { groups: encodeOrigins(records), incomplete }, version, 'caller')
    if (written.ok) this.ownVersion = written.val.version
    return written.map(() => undefined)
  }

  /** Sets a pool's default, or withdraws it where `version` is undefined, unless another daemon changes the defaults at the same time. */
  async putDefault (pool: string, version: string | undefined): Promise<Result<void, StoreError>> {
    const present = await this.store.get<OriginObject>(KIND, DEFAULTS)
    if (present.err && present.val.type !== 'missing') return present
    const value = present.ok ? present.val.value : undefined
    const pools = listDefaults(value).filter(([other]) => other !== pool)
    const withdrawn = listNames(value?.withdrawn).filter(other => other !== pool)
    const next = version === undefined ? { pools, withdrawn: [...withdrawn, pool] } : { pools: [...pools, [pool, version] as const], withdrawn }
    const written = await this.store.put<OriginObject>(KIND, DEFAULTS, { ...next, pools: Object.fromEntries(next.pools) }, present.ok ? present.val.version : 0)
    return written.map(() => undefined)
  }
}

function listDefaults (value: OriginObject | undefined): ReadonlyArray<readonly [string, string]> {
  return Object.entries(Object(value?.pools)).filter((entry): entry is [string, string] => typeof entry[1] === 'string')
}

function listNames (value: unknown): readonly string[] {
  return Array.isArray(value) ? value.filter((name): name is string => typeof name === 'string') : []
}
