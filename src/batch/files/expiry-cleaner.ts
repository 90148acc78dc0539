import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../../config/configuration-holder.js'
import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { tokens } from '../../kernel/tokens.js'
import { Timeline } from '../../observe/timeline/timeline.js'
import { Members } from '../../peers/members.js'
import { listPages } from '../../store/list-pages.js'
import { listUpTo } from '../../store/list-up-to.js'
import type { ObjectStore } from '../../store/object-store.js'
import { CallerIndex } from '../caller-index.js'
import { CancelledIndex } from '../cancelled-index.js'
import type { Chunk } from '../chunks/chunk.js'
import type { Expiry } from './expiry.js'
import { ExpiryIndex } from './expiry-index.js'
import { FileStore } from './file-store.js'
import { HoldingRecord } from '../chunks/holding-record.js'
import type { Job } from '../job.js'
import { JobStore } from '../job-store.js'
import { listChunks } from '../chunks/list-chunks.js'
import { mayRemove } from '../may-remove.js'

/** ms between clean-ups. */
const PERIOD = 60_000
const DAY = 86_400_000
const PAGE = 500

/**
 * Removes expired jobs, results and files, on one daemon at a time. The job itself is removed last, so that an
 * interrupted removal is repeated from the start.
 */
@scoped(Lifecycle.ContainerScoped)
export class ExpiryCleaner implements Part {
  private cleaning = false
  private cancelTimer = (): void => {}

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(ExpiryIndex) private readonly expiries: ExpiryIndex,
    @inject(FileStore) private readonly files: FileStore,
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(CallerIndex) private readonly index: CallerIndex,
    @inject(CancelledIndex) private readonly cancelled: CancelledIndex,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Members) private readonly members: Members,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(Timeline) private readonly timeline: Timeline
  ) {}

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(PERIOD, () => { void this.clean() })
  }

  async stop (): Promise<void> {
    this.cancelTimer()
  }

  private async clean (): Promise<void> {
    if (this.cleaning || rankOwners('clean-up', this.members.owners())[0] !== this.holding.incarnation.instance) return
    this.cleaning = true
    const due = (await this.expiries.list(this.clock.date())).unwrapOr([])
    for (const expiry of due) await this.checkExpiry(expiry)
    await this.cancelled.clean()
    this.cleaning = false
  }

  /**
   * Removes the file or job, or schedules another check in a day. A check that fails is repeated in the next period.
   */
  private async checkExpiry (expiry: Expiry & { readonly name: string }): Promise<void> {
    const removed = expiry.type === 'job' ? await this.checkJob(expiry.id) : await this.checkFile(expiry.id)
    if (removed === 'failed') return
    if (removed === 'kept' && (await this.expiries.add(expiry, this.clock.date() + DAY)).err) return
    if (removed === 'removed') this.timeline.record({ part: 'batch', what: 'removed', job: expiry.id })
    await this.expiries.remove(expiry.name)
  }

  private async checkJob (id: string): Promise<'removed' | 'kept' | 'failed'> {
    const job = await this.jobs.read(id, 'background')
    if (job.err) return job.val.type === 'missing' ? 'removed' : 'failed'
    const keep = this.configuration.value.limits.resultKeep
    if (!mayRemove(job.val, { keep, date: this.clock.date() })) return 'kept'
    return await this.removeJob(job.val) ? 'removed' : 'failed'
  }

  private async removeJob (job: Job): Promise<boolean> {
    for (const { n } of listChunks(job.services)) {
      const chunk = await this.store.get<Chunk>('chunk', `${job.id}.${n}`)
      if (chunk.err && chunk.val.type !== 'missing') return false
      if (!await this.removeParts(`${job.id}.${n}.`) || !await this.remove('chunk', `${job.id}.${n}`)) return false
    }
    if ((await this.index.remove('job', job)).err || !await this.remove('file-job', `${job.file}~${job.id}`)) return false
    return await this.remove('job', job.id)
  }

  /** Removes a file that no job refers to any more. Until then results take the ids of their items from it. */
  private async checkFile (id: string): Promise<'removed' | 'kept' | 'failed'> {
    const users = await listUpTo(this.store, 'file-job', { prefix: `${id}~`, limit: 1 })
    if (users.err) return 'failed'
    if (users.val.length > 0) return 'kept'
    const file = await this.files.read(id)
    if (file.err && file.val.type !== 'missing') return 'failed'
    if (file.ok && (await this.files.delete(file.val)).err) return 'failed'
    return await this.removeAll('items', `${id}.`) ? 'removed' : 'failed'
  }

  /**
   * Removes all parts of a chunk, including those that a holder wrote before it crashed without adding them to the
   * chunk.
   */
  private async removeParts (prefix: string): Promise<boolean> {
    return await this.removeAll('part', prefix)
  }

  private async removeAll (kind: string, prefix: string): Promise<boolean> {
    for await (const found of listPages(this.store, kind, { prefix, page: PAGE })) {
      if (found.err) return false
      for (const { name, version } of found.val) {
        const deleted = await this.store.delete(kind, name, version)
        if (deleted.err && deleted.val.type !== 'missing' && deleted.val.type !== 'conflict') return false
      }
    }
    return true
  }

  private async remove (kind: string, name: string): Promise<boolean> {
    const read = await this.store.get(kind, name)
    if (read.err) return read.val.type === 'missing'
    return (await this.store.delete(kind, name, read.val.version)).ok
  }
}

partRegistry.register({ name: 'batch clean-up', part: ExpiryCleaner, needs: ['members', 'holding record', 'configuration'] })
