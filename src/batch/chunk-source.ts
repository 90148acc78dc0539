import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import { tokens } from '../kernel/tokens.js'
import type { BatchSource } from '../ownership/batch-source.js'
import { batchSourcePoint } from '../ownership/batch-source-point.js'
import type { BatchWork } from '../ownership/batch-work.js'
import { ChunkClaims } from './chunk-claims.js'
import { estimateRest } from './estimate-rest.js'
import { HeldChunk } from './held-chunk.js'
import { HoldingRecord } from './holding-record.js'
import type { Job } from './job.js'
import { JobWatch } from './job-watch.js'
import { listChunks } from './list-chunks.js'
import { orderJobs } from './order-jobs.js'
import { RecentUse } from './recent-use.js'
import type { WorkEntry } from './work-entry.js'
import { WorkIndex } from './work-index.js'

const IDLE_PERIOD = 2_000
const BUSY_PAUSE = 5_000
const MAX_PROBES = 8
/** Bytes of results that may wait for the platform before nothing more is started. */
const MAX_WAITING_BYTES = 16_000_000

interface Wanted { slots: number, looking: boolean, nextLook: number }

/** The source of batch items: claims chunks of open jobs ahead of what the owners of servers can run. */
@scoped(Lifecycle.ContainerScoped)
export class ChunkSource implements Part, BatchSource {
  readonly extensions = [batchSourcePoint.of(this)]
  private readonly wanted = new Map<string, Wanted>()
  private readonly held = new Map<string, HeldChunk>()
  private readonly busy = new Map<string, number>()
  private readonly use = new RecentUse()
  private readonly rest = new Map<string, number>()
  private readonly listeners = new Set<(service: string) => void>()
  private draining = false
  private cancelTimer = (): void => {}

  constructor (
    @inject(WorkIndex) private readonly work: WorkIndex,
    @inject(ChunkClaims) private readonly claims: ChunkClaims,
    @inject(JobWatch) private readonly jobs: JobWatch,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(PauseWatch) pauses: PauseWatch,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    jobs.subscribe(job => this.stopJob(job))
    pauses.subscribe(() => this.checkAll())
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(IDLE_PERIOD, () => this.lookForMore())
  }

  /** Takes no more, lets what runs end, and leaves the rest to others at once. */
  async drain (): Promise<void> {
    this.draining = true
    this.cancelTimer()
    await Promise.all([...this.held.values()].map(async held => await held.release()))
    await this.claims.waitForCounts()
    await this.holding.write()
  }

  want (service: string, slots: number): void {
    const wanted = this.wanted.get(service) ?? { slots: 0, looking: false, nextLook: 0 }
    this.wanted.set(service, wanted)
    wanted.slots = slots
    this.prepare(service)
    void this.look(service, wanted)
  }

  take (service: string): BatchWork | undefined {
    if (this.draining || this.countWaiting() > MAX_WAITING_BYTES) return undefined
    for (const held of this.listHeld(service)) {
      if (!this.jobs.mayStart(held.options.job.id)) continue
      const work = held.take()
      if (work === undefined) continue
      this.use.add(work.caller, 1, this.clock.now())
      this.use.add(work.job, 1, this.clock.now())
      return work
    }
    return undefined
  }

  subscribe (listener: (service: string) => void): void {
    this.listeners.add(listener)
  }

  /** Looks for work of these services now, because somebody said that there is some. */
  lookAgain (services: readonly string[]): void {
    for (const service of services) {
      const wanted = this.wanted.get(service)
      if (wanted === undefined) continue
      wanted.nextLook = 0
      void this.look(service, wanted)
    }
  }

  private listHeld (service: string): readonly HeldChunk[] {
    return [...this.held.values()].filter(held => held.options.service === service)
  }

  private countWaiting (): number {
    return [...this.held.values()].reduce((sum, held) => sum + held.waitingBytes, 0)
  }

  private prepare (service: string): void {
    const slots = this.wanted.get(service)?.slots ?? 0
    for (const held of this.listHeld(service)) held.prepare(slots)
  }

  private tell (service: string): void {
    this.prepare(service)
    for (const listener of this.listeners) listener(service)
  }

  private stopJob (job: string): void {
    for (const held of this.held.values()) if (held.options.job.id === job) void held.release({ abort: true })
  }

  private checkAll (): void {
    for (const held of this.held.values()) void held.check()
  }

  private lookForMore (): void {
    this.use.drop(this.clock.now())
    for (const [service, wanted] of this.wanted) void this.look(service, wanted)
  }

  private needsMore (service: string, { slots }: Wanted): boolean {
    const ready = this.listHeld(service).reduce((sum, held) => sum + held.ready, 0)
    return !this.draining && ready < slots && this.countWaiting() <= MAX_WAITING_BYTES
  }

  /** One look at a time for each service; one that found nothing is repeated no sooner than after the idle period. */
  private async look (service: string, wanted: Wanted): Promise<void> {
    if (wanted.looking || this.clock.now() < wanted.nextLook) return
    wanted.looking = true
    while (this.needsMore(service, wanted)) {
      if (await this.claimMore(service)) continue
      wanted.nextLook = this.clock.now() + IDLE_PERIOD / 2
      break
    }
    wanted.looking = false
  }

  private async claimMore (service: string): Promise<boolean> {
    const open = await this.work.list(service)
    if (open.err) return false
    const now = this.clock.now()
    const order = orderJobs(open.val.filter(entry => entry.service === service), {
      date: this.clock.date(),
      share: caller => this.configuration.value.callers[caller]?.share ?? 1,
      used: name => this.use.get(name, now),
      estimate: ({ job }) => this.rest.get(job) ?? 0
    })
    for (const job of this.rest.keys()) if (open.val.every(entry => entry.job !== job)) this.rest.delete(job)
    for (const entry of order) {
      if (!this.draining && await this.claimFrom(entry)) return true
    }
    return false
  }

  /** Claims one chunk of the job, trying those first that fall to this daemon by hashing. */
  private async claimFrom (entry: WorkEntry): Promise<boolean> {
    const job = await this.jobs.check(entry.job)
    if (job === undefined) return false
    this.rest.set(job.id, estimateRest(job, this.clock.date()))
    const now = this.clock.now()
    const open = listChunks(job.services).filter(({ n, service }) => {
      const name = `${job.id}.${n}`
      return service === entry.service && job.finished[n] === undefined && !this.held.has(name) && (this.busy.get(name) ?? 0) <= now
    })
    if (open.length === 0) this.forget(job)
    const first = Number(rankOwners(this.holding.by.instance, open.map(({ n }) => String(n)))[0])
    const start = open.findIndex(({ n }) => n === first)
    for (let i = 0; i < Math.min(MAX_PROBES, open.length); i++) {
      const chunk = open[(start + i) % open.length]!
      if (await this.claimChunk(job, chunk)) return true
    }
    return false
  }

  private async claimChunk (job: Job, { n, service, items }: ReturnType<typeof listChunks>[number]): Promise<boolean> {
    const name = `${job.id}.${n}`
    const held = await this.claims.claim({ job, n, service, items, onReady: () => this.tell(service), onEnd: () => this.drop(name, job) })
    if (!(held instanceof HeldChunk)) {
      this.busy.set(name, this.clock.now() + BUSY_PAUSE)
      return false
    }
    this.held.set(name, held)
    // The job may have been cancelled, or the daemon told to drain, while the claim was on its way.
    if (!this.jobs.watches(job.id) || this.draining) void held.release({ abort: true })
    else this.tell(service)
    return true
  }

  private drop (name: string, job: Job): void {
    this.held.delete(name)
    this.forget(job)
  }

  private forget (job: Job): void {
    if ([...this.held.values()].every(held => held.options.job.id !== job.id)) this.jobs.remove(job.id)
  }
}

partRegistry.register({ name: 'chunk source', part: ChunkSource, needs: ['pause watch', 'configuration', 'job watch', 'holding record'] })
