import { createHash } from 'node:crypto'
import { Ok, type Result } from 'ts-results'
import { listPages } from '../../store/list-pages.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { StoredPart } from './stored-part.js'

const KIND = 'refused-parts'

/** Refused parts in the store: they outlive a restart of all daemons, and an operator releases one by deleting its object. */
export class RefusedPartsStore {
  constructor (private readonly store: ObjectStore) {}

  /** Stores a part, over an earlier refusal. */
  async put (stored: StoredPart): Promise<Result<void, StoreError>> {
    const name = buildName(stored.part)
    const written = await this.store.put(KIND, name, stored, 0)
    const again = written.err && written.val.type === 'conflict' ? await this.store.put(KIND, name, stored, written.val.version) : written
    return again.map(() => undefined)
  }

  async list (): Promise<Result<readonly StoredPart[], StoreError>> {
    const all: StoredPart[] = []
    for await (const page of listPages<StoredPart>(this.store, KIND)) {
      if (page.err) return page
      all.push(...page.val.map(({ value }) => value).filter(value => typeof value?.part === 'string' && Array.isArray(value.losses)))
    }
    return Ok(all)
  }

  async remove (part: string): Promise<void> {
    const present = await this.store.get(KIND, buildName(part))
    if (present.ok) await this.store.delete(KIND, present.val.name, present.val.version)
  }
}

/** Parts are named by callers, in any length and form. */
function buildName (part: string): string {
  return createHash('sha256').update(part).digest('hex').slice(0, 32)
}
