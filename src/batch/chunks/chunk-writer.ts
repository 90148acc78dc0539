import { Err, Ok, type Result } from 'ts-results'
import { GroupCommit } from '../../coordination/group-commit.js'
import type { Clock } from '../../kernel/clock.js'
import type { Incarnation } from '../../kernel/incarnation.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { StoredObject } from '../../store/stored-object.js'
import type { Chunk } from './chunk.js'
import type { ChunkEntry } from './chunk-entry.js'
import { isHolder } from './is-holder.js'
import { recordEntries } from '../results/record-entries.js'
import { spillResults } from '../results/spill-results.js'

const MAX_BATCH_ENTRIES = 64
const MAX_BATCH_BYTES = 500_000
/** Longest time in ms that an entry waits for others to join its write. */
const MAX_WAIT = 5_000
const MAX_CONFLICTS = 3
/** Estimated size of an entry beside its result. */
const ENTRY_BYTES = 100

interface ChunkWriterOptions {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly by: Incarnation
  readonly items: number
  /** The chunk as it was claimed. */
  readonly object: StoredObject<Chunk>
  /** Called, possibly more than once, when the chunk turns out to be closed or held by another daemon. */
  readonly onChange: () => void
}

/**
 * Writes the updates of a chunk's holder, many entries in one conditional update. After a conflict it reads the chunk
 * again and applies the entries to the current version. The first recorded result of an item wins, so a holder that
 * has lost its claim may still add results of items that have none.
 */
export class ChunkWriter {
  private object: StoredObject<Chunk>
  private readonly commit: GroupCommit<ChunkEntry, StoreError>

  constructor (private readonly options: ChunkWriterOptions) {
    this.object = options.object
    this.commit = new GroupCommit<ChunkEntry, StoreError>({
      clock: options.clock,
      write: async entries => await this.write(entries),
      isFinal: ({ type }) => type === 'missing' || type === 'invalid',
      measure: entry => entry.type === 'result' ? Buffer.byteLength(JSON.stringify(entry.result)) + ENTRY_BYTES : ENTRY_BYTES,
      maxEntries: MAX_BATCH_ENTRIES,
      maxSize: MAX_BATCH_BYTES,
      maxWait: MAX_WAIT
    })
  }

  get chunk (): Chunk {
    return this.object.value
  }

  get isHeld (): boolean {
    return isHolder(this.chunk, this.options.by)
  }

  /** Entries not yet known to be durable, and their size in bytes. */
  get waiting (): { readonly entries: readonly ChunkEntry[], readonly size: number } {
    return this.commit.waiting
  }

  /** Resolves once the entry is stored or no longer applies. */
  async add (entry: ChunkEntry, { urgent = false } = {}): Promise<Result<void, StoreError>> {
    const added = this.commit.add(entry)
    if (urgent) this.commit.flush()
    return await added
  }

  flush (): void {
    this.commit.flush()
  }

  /** Reads the chunk again; another daemon may have claimed it during a pause. */
  async refresh (): Promise<Result<void, StoreError>> {
    const read = await this.options.store.get<Chunk>('chunk', this.object.name)
    if (read.err) return read
    this.acceptRead(read.val)
    return Ok(undefined)
  }

  private async write (entries: readonly ChunkEntry[]): Promise<Result<void, StoreError>> {
    for (let tries = 0; tries < MAX_CONFLICTS; tries++) {
      const next = recordEntries(this.chunk, entries, this.options)
      if (next === this.chunk) return Ok(undefined)
      const written = await this.put(next)
      if (written.ok) this.acceptRead(written.val)
      if (written.ok) return Ok(undefined)
      if (written.val.type !== 'conflict') return written
      const read = await this.refresh()
      if (read.err) return read
    }
    return Err({ type: 'unavailable', reason: 'too many conflicting updates of the chunk' })
  }

  private async put (next: Chunk): Promise<Result<StoredObject<Chunk>, StoreError>> {
    const { store } = this.options
    const spilled = await spillResults(store, this.object.name, next)
    return spilled.ok ? await store.put('chunk', this.object.name, spilled.val, this.object.version) : spilled
  }

  /** Ignores a version older than the known one. */
  private acceptRead (object: StoredObject<Chunk>): void {
    if (object.version <= this.object.version) return
    this.object = object
    if (!this.isHeld) this.options.onChange()
  }
}
