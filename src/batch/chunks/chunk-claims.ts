import { inject, Lifecycle, scoped } from 'tsyringe'
import { Account } from '../../admission/account/account.js'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import { Timeline } from '../../observe/timeline/timeline.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoredObject } from '../../store/stored-object.js'
import type { Chunk } from './chunk.js'
import { claimChunk } from './claim-chunk.js'
import { countChunk } from './count-chunk.js'
import { FileStore } from '../files/file-store.js'
import { HeldChunk } from './held-chunk.js'
import type { Holding } from './holding.js'
import { HoldingRecord } from './holding-record.js'
import { isHolder } from './is-holder.js'
import type { Item } from '../item.js'
import type { Job } from '../job.js'
import { JobCounter } from '../job-counter.js'

/** Limits the set of counted chunks. A chunk is read again only until its job has stored its counts. */
const MAX_COUNTED = 10_000

/** A chunk to claim, and callbacks for while it is held. */
interface Claim {
  readonly job: Job
  readonly n: number
  readonly service: string
  readonly items: number
  readonly mayStart: () => boolean
  readonly onReady: () => void
  readonly onEnd: (chunk: Chunk) => void
}

/** Claims single chunks, and adds the counts of ended chunks to their jobs and to the account. */
@scoped(Lifecycle.ContainerScoped)
export class ChunkClaims {
  private readonly counting = new Set<Promise<void>>()
  private readonly counted = new Set<string>()

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(FileStore) private readonly files: FileStore,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(JobCounter) private readonly counter: JobCounter,
    @inject(Account) private readonly account: Account,
    @inject(Timeline) private readonly timeline: Timeline
  ) {}

  /** Returns the claimed chunk, or why it could not be claimed. `busy` means that another daemon holds it. */
  async claim (claim: Claim): Promise<HeldChunk | 'busy' | 'closed' | 'failed'> {
    const name = `${claim.job.id}.${claim.n}`
    const read = await this.store.get<Chunk>('chunk', name)
    if (read.err && read.val.type !== 'missing') return 'failed'
    const present = read.ok ? read.val.value : undefined
    const holding = await this.readHolding(present)
    if (holding === 'failed') return 'failed'
    const next = claimChunk(present, { name, items: claim.items, by: this.holding.incarnation, holding, date: this.clock.date() })
    if (next.err && next.val === 'held') return 'busy'
    if (next.err) return await this.finish(claim, present!)
    const items = await this.files.readItems(claim.job.file, claim.n)
    if (items.err || (await this.holding.add([name])).err) return 'failed'
    return await this.write(claim, { name, next: next.val, version: read.ok ? read.val.version : 0, items: items.val })
  }

  /** Resolves once all chunks that have ended so far are counted. */
  async waitForCounts (): Promise<void> {
    await Promise.all(this.counting)
  }

  private async readHolding (chunk: Chunk | undefined): Promise<Holding | undefined | 'failed'> {
    const holder = chunk?.holder
    if (holder === undefined || isHolder(chunk!, this.holding.incarnation)) return undefined
    const read = await this.store.get<Holding>('holding', holder.instance)
    if (read.ok) return read.val.value
    return read.val.type === 'missing' ? undefined : 'failed'
  }

  private async write (claim: Claim, { name, next, version, items }: { readonly name: string, readonly next: Chunk, readonly version: number, readonly items: readonly Item[] }): Promise<HeldChunk | 'busy' | 'closed' | 'failed'> {
    const written = await this.store.put('chunk', name, next, version)
    if (written.err) {
      this.holding.remove([name])
      return written.val.type === 'conflict' ? 'busy' : 'failed'
    }
    if (next.closed !== undefined) return await this.finish(claim, next)
    this.timeline.record({ part: 'batch', what: 'claimed', job: claim.job.id, detail: `chunk ${claim.n}` })
    return this.hold(claim, written.val, items)
  }

  private hold (claim: Claim, object: StoredObject<Chunk>, items: readonly Item[]): HeldChunk {
    return new HeldChunk({
      ...claim,
      object,
      items,
      by: this.holding.incarnation,
      store: this.store,
      clock: this.clock,
      onEnd: chunk => {
        const finishing = this.finish(claim, chunk).then(() => { this.counting.delete(finishing) })
        this.counting.add(finishing)
        claim.onEnd(chunk)
      }
    })
  }

  /** Adds the counts of a closed chunk to its job, and its results to the account if this daemon closed it. */
  private async finish ({ job, n, service }: Claim, chunk: Chunk): Promise<'closed'> {
    const { closed } = chunk
    this.timeline.record({ part: 'batch', what: closed === undefined ? 'let go' : 'finished', job: job.id, detail: `chunk ${n}` })
    if (closed !== undefined) {
      if (this.mayCount(`${job.id}.${n}`, chunk)) await countChunk(this.store, this.account, { caller: job.caller, service, chunk })
      await this.counter.add(job.id, n, closed)
    }
    this.holding.remove([`${job.id}.${n}`])
    return 'closed'
  }

  /**
   * Returns whether this daemon closed the chunk and has not counted it yet. Until the job has stored the chunk's
   * counts, every search for work reads the closed chunk again and would count its results again.
   */
  private mayCount (name: string, { closed }: Chunk): boolean {
    const { instance, started } = this.holding.incarnation
    if (closed?.by.instance !== instance || closed.by.started !== started || this.counted.has(name)) return false
    this.counted.add(name)
    if (this.counted.size > MAX_COUNTED) this.counted.delete(this.counted.values().next().value!)
    return true
  }
}
