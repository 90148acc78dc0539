import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import { pauseFor } from '../../kernel/pause-for.js'
import { tokens } from '../../kernel/tokens.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { Chunk } from '../chunks/chunk.js'
import { FileStore } from '../files/file-store.js'
import type { ItemResult } from './item-result.js'
import type { Job } from '../job.js'
import { listChunks } from '../chunks/list-chunks.js'
import { readResults } from './read-results.js'
import { showResult } from './show-result.js'

const MAX_ATTEMPTS = 3
/** ms between attempts to read a chunk. */
const RETRY_PAUSE = 500

const cancelledItem: ItemResult = { type: 'failed', cause: 'cancelled', detail: 'the job was cancelled before it was run' }

/**
 * Reads the recorded results of a job as lines, chunk by chunk, in the order of the items. Recorded results never
 * change, so repeated reads give identical bytes. Throws if the platform doesn't answer, so that a partial result is
 * not taken for the whole.
 */
@scoped(Lifecycle.ContainerScoped)
export class ResultReader {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(FileStore) private readonly files: FileStore,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** `output` yields the completed items, `errors` the failed and cancelled ones. */
  async * read (job: Job, which: 'output' | 'errors'): AsyncGenerator<string> {
    for (const { n } of listChunks(job.services)) yield await this.retry(async () => await this.readChunk(job, n, which))
  }

  private async readChunk (job: Job, n: number, which: 'output' | 'errors'): Promise<string | undefined> {
    const chunk = await this.store.get<Chunk>('chunk', `${job.id}.${n}`, 'caller')
    if (chunk.err) return chunk.val.type === 'missing' ? '' : undefined
    const results = await readResults(this.store, chunk.val.value)
    const items = await this.files.readItems(job.file, n)
    if (results.err || items.err) return undefined
    const absent = chunk.val.value.closed === undefined ? undefined : cancelledItem
    return items.val.flatMap(({ id }, item) => {
      const result = results.val[item] ?? absent
      if (result === undefined || (result.type === 'completed') !== (which === 'output')) return []
      return [JSON.stringify(showResult(job.id, id, result)) + '\n']
    }).join('')
  }

  private async retry (read: () => Promise<string | undefined>): Promise<string> {
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      const lines = await read()
      if (lines !== undefined) return lines
      await pauseFor(this.clock, RETRY_PAUSE)
    }
    throw new Error('reading results failed: the platform did not answer')
  }
}
