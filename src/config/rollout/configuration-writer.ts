import { randomUUID } from 'node:crypto'
import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { writeVersion } from '../../coordination/versions/write-version.js'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import type { StoreError } from '../../store/store-error.js'
import type { StoredObject } from '../../store/stored-object.js'
import { ConfigurationLoader } from '../configuration-loader.js'
import { addChange } from './add-change.js'
import type { ApplyOutcome } from './apply-outcome.js'
import { ConfigurationDistribution } from './configuration-distribution.js'
import { ConfigurationObjects } from '../configuration-objects.js'
import { findChange } from './find-change.js'
import type { FolderChange } from './folder-change.js'
import { listChangedFiles } from './list-changed-files.js'
import type { Manifest } from './manifest.js'
import type { Pack } from './pack.js'
import type { PackedFile } from './packed-file.js'
import { splitPacks } from './split-packs.js'

// Times in ms.
const HOUR = 3_600_000
const SWEEP_PERIOD = 24 * HOUR
const MIN_UNUSED_AGE = HOUR
const RETRY_AFTER = 1_000
const EMPTY_MANIFEST: Manifest = { format: 1, packs: [], changes: [], swept: 0 }

type CurrentManifest = Pick<StoredObject<Manifest>, 'version' | 'value'>

/**
 * Accepts operators' changes: checks the whole changed folder, writes the new packs, and swaps the manifest on condition
 * that it still has the version that the change was based on.
 *
 * Once a day a swap also deletes unused packs: those over an hour old that neither the old nor the new manifest names.
 * Their versions are read before the swap, and the deletes after it are conditional on those versions. A concurrent
 * change is either based on the version before the swap (its own swap is refused) or after it (it has written its packs
 * again, so the delete is refused), so no accepted manifest loses a pack.
 */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationWriter {
  constructor (
    @inject(ConfigurationObjects) private readonly objects: ConfigurationObjects,
    @inject(ConfigurationDistribution) private readonly distribution: ConfigurationDistribution,
    @inject(ConfigurationLoader) private readonly loader: ConfigurationLoader,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async apply (change: FolderChange): Promise<ApplyOutcome> {
    const current = await this.readCurrent()
    if (current.err) return createNotSent(current.val)
    if (current.val.version !== change.basedOn) return createConflict(current.val, change.basedOn)
    const packs = await this.readPacks(current.val.value.packs)
    if (packs.err) return createNotSent(packs.val)
    const files = new Map(packs.val.flatMap(pack => pack.files.map(file => [file[0], file])))
    const changed = applyChange(files, change)
    if (changed.length === 0) return { type: 'unchanged', version: current.val.version }
    const checked = await this.loader.check([...files.values()])
    if (checked.err) return { type: 'findings', findings: checked.val }
    return await this.swapManifest(current.val, splitPacks([...files.values()]), changed, change.by)
  }

  private async swapManifest ({ version, value: manifest }: CurrentManifest, packs: readonly Pack[], changed: readonly string[], by: string): Promise<ApplyOutcome> {
    for (const pack of packs.filter(({ hash }) => !manifest.packs.includes(hash))) {
      const written = await this.objects.writePack(pack)
      if (written.err) return createNotSent(written.val)
    }
    const now = this.clock.date()
    const hashes = packs.map(({ hash }) => hash)
    const unused = now - manifest.swept < SWEEP_PERIOD ? undefined : (await this.objects.listUnused(new Set([...hashes, ...manifest.packs]), now - MIN_UNUSED_AGE)).unwrapOr(undefined)
    const id = randomUUID()
    const changes = addChange(manifest.changes, { id, basedOn: version, at: now, by, files: changed })
    const next: Manifest = { format: 1, packs: hashes, changes, swept: unused === undefined ? manifest.swept : now }
    const outcome = await writeVersion<Manifest>({
      read: async () => await this.objects.readManifest('operator'),
      write: async (value, basedOn) => await this.objects.writeManifest(value, basedOn)
    }, { value: next, basedOn: version, find: ({ version: at, value }) => findChange({ version: at, changes: value.changes }, { id, basedOn: version }) })
    if (outcome.type === 'refused') return createConflict({ version: outcome.version, value: outcome.value ?? EMPTY_MANIFEST }, version)
    if (outcome.type !== 'accepted') return outcome
    this.distribution.applyAccepted({ version: outcome.version, value: next }, packs)
    if (unused !== undefined) void this.objects.deleteUnused(unused)
    return { type: 'accepted', version: outcome.version, changed }
  }

  private async readCurrent (): Promise<Result<CurrentManifest, StoreError>> {
    const current = await this.objects.readManifest('operator')
    return current.err && current.val.type === 'missing' ? Ok({ version: 0, value: EMPTY_MANIFEST }) : current
  }

  /** Returns the packs of the current manifest, from the version that this daemon holds if possible, else from the platform. */
  private async readPacks (hashes: readonly string[]): Promise<Result<readonly Pack[], StoreError>> {
    const packs: Pack[] = []
    for (const hash of hashes) {
      const known = this.distribution.findPack(hash)
      const pack: Result<Pack, StoreError> = known === undefined ? await this.objects.readPack(hash, 'operator') : Ok(known)
      if (pack.err) return pack
      packs.push(pack.val)
    }
    return Ok(packs)
  }
}

/** Changes `files` in place; returns the names of the files that changed. */
function applyChange (files: Map<string, PackedFile>, { put, remove }: FolderChange): readonly string[] {
  const removed = remove.filter(name => files.delete(name))
  const changed = Object.entries(put).filter(([name, text]) => files.get(name)?.[1] !== text)
  for (const file of changed) files.set(file[0], file)
  return [...removed, ...changed.map(([name]) => name)].sort()
}

function createConflict ({ version, value }: CurrentManifest, basedOn: number): ApplyOutcome {
  const since = listChangedFiles(value.changes, basedOn)
  return { type: 'conflict', version, files: since?.files, more: since?.more ?? 0 }
}

/** Builds the outcome of a failure before the swap, when nothing can have been accepted. */
function createNotSent (error: StoreError): ApplyOutcome {
  return { type: 'not sent', reason: 'reason' in error ? error.reason : error.type, retryAfter: error.type === 'limited' ? error.retryAfter : RETRY_AFTER }
}
