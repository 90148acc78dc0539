import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import type { CallPriority } from '../store/call-priority.js'
import { listPages } from '../store/list-pages.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { StoredObject } from '../store/stored-object.js'
import type { Manifest } from './rollout/manifest.js'
import type { Pack } from './rollout/pack.js'

const MANIFEST_KIND = 'configuration'
const MANIFEST_NAME = 'manifest'
const PACK_KIND = 'configuration-pack'
const MAX_ATTEMPTS = 5

interface StoredPack { readonly at: number, readonly files: Pack['files'] }

/** A pack that may be deleted, with its version at the time of that decision. */
interface UnusedPack { readonly name: string, readonly version: number }

/** Reads and writes the configuration in the platform's object store: one manifest and its packs. */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationObjects {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async readManifest (priority: CallPriority): Promise<Result<StoredObject<Manifest>, StoreError>> {
    return await this.store.get<Manifest>(MANIFEST_KIND, MANIFEST_NAME, priority)
  }

  async writeManifest (manifest: Manifest, version: number): Promise<Result<StoredObject<Manifest>, StoreError>> {
    return await this.store.put(MANIFEST_KIND, MANIFEST_NAME, manifest, version, 'operator')
  }

  /** Waits up to `wait` ms for a manifest newer than `revision`; -1 returns the current one at once. */
  async watchManifest (revision: number, wait: number): Promise<Result<{ readonly revision: number, readonly manifest?: StoredObject<Manifest> }, StoreError>> {
    const batch = await this.store.watch<Manifest>(MANIFEST_KIND, revision, wait)
    return batch.map(({ revision, changed }) => ({ revision, manifest: changed.find(({ name }) => name === MANIFEST_NAME) }))
  }

  async readPack (hash: string, priority: CallPriority): Promise<Result<Pack, StoreError>> {
    return (await this.store.get<StoredPack>(PACK_KIND, hash, priority)).map(({ value }) => ({ hash, files: value.files }))
  }

  /**
   * Stores a pack so that it stays until the manifest swap. A pack with the same content may remain from an earlier
   * version and be deleted as unused just before the swap, which would leave a manifest with a missing pack. Writing it
   * again changes its version, and the delete is conditional on the old version.
   */
  async writePack ({ hash, files }: Pack): Promise<Result<void, StoreError>> {
    let version = 0
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const written = await this.store.put<StoredPack>(PACK_KIND, hash, { at: this.clock.date(), files }, version, 'operator')
      if (written.ok) return Ok(undefined)
      if (written.val.type !== 'conflict') return written
      version = written.val.version
    }
    return Err({ type: 'unavailable', reason: 'others kept writing the same pack' })
  }

  /** Lists packs that `used` doesn't name and that were written before `before` (wall-clock ms), with their versions. */
  async listUnused (used: ReadonlySet<string>, before: number): Promise<Result<readonly UnusedPack[], StoreError>> {
    const unused: UnusedPack[] = []
    for await (const page of listPages<StoredPack>(this.store, PACK_KIND)) {
      if (page.err) return page
      unused.push(...page.val.filter(({ name, value }) => !used.has(name) && value.at < before).map(({ name, version }) => ({ name, version })))
    }
    return Ok(unused)
  }

  async deleteUnused (unused: readonly UnusedPack[]): Promise<void> {
    for (const { name, version } of unused) await this.store.delete(PACK_KIND, name, version, 'background')
  }
}
