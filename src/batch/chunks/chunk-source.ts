import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { pauseFor } from '../../kernel/pause-for.js'
import { PauseWatch } from '../../kernel/pause-watch.js'
import { tokens } from '../../kernel/tokens.js'
import type { BatchSource } from '../../ownership/batch/batch-source.js'
import { batchSourcePoint } from '../../ownership/batch/batch-source-point.js'
import type { BatchWork } from '../../ownership/batch/batch-work.js'
import type { Chunk } from './chunk.js'
import { ChunkClaims } from './chunk-claims.js'
import { HeldChunk } from './held-chunk.js'
import { HeldChunks } from './held-chunks.js'
import { HoldingRecord } from './holding-record.js'
import type { Job } from '../job.js'
import { JobWatch } from '../job-watch.js'
import type { SpoolEntry } from '../results/spool-entry.js'
import { planSearchPause } from '../plan-search-pause.js'
import { WorkFinder } from '../work-finder.js'

/** ms between searches for work. */
const SEARCH_PERIOD = 2_000
/** ms after which `drain` returns in any case. */
const DRAIN_TIMEOUT = 90_000
/** Bytes of results that are not yet durable above which no more items are started or claimed. */
const MAX_UNSAVED_BYTES = 16_000_000

/** The demand for items of one service; `nextSearch` in monotonic ms. */
interface Demand { slots: number, searching: boolean, nextSearch: number }

/** Supplies the owners of servers with batch items: claims chunks of open jobs ahead of the demand. */
@scoped(Lifecycle.ContainerScoped)
export class ChunkSource implements Part, BatchSource {
  readonly extensions = [batchSourcePoint.of(this)]
  /** Number of daemons in the fleet, updated by `JobSupervisor`. */
  fleetSize = 1
  private readonly demands = new Map<string, Demand>()
  private readonly held = new HeldChunks()
  private readonly listeners = new Set<(service: string) => void>()
  private readonly freedListeners = new Set<(chunk: string) => void>()
  private draining = false
  /** Number of announcements of new or freed work received so far. */
  private announcements = 0
  private cancelTimer = (): void => {}

  constructor (
    @inject(WorkFinder) private readonly finder: WorkFinder,
    @inject(ChunkClaims) private readonly claims: ChunkClaims,
    @inject(JobWatch) private readonly jobs: JobWatch,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(PauseWatch) pauses: PauseWatch,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    jobs.subscribe(job => this.stopJob(job))
    pauses.subscribe(() => this.recheckAll())
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(SEARCH_PERIOD, () => this.searchAll())
  }

  /**
   * Claims no more chunks, lets running items end and releases all chunks. During an outage of the platform releasing
   * fails; `drain` then returns after `DRAIN_TIMEOUT`, and other daemons take over the claims as those of a dead
   * daemon.
   */
  async drain (): Promise<void> {
    this.draining = true
    this.cancelTimer()
    const released = Promise.all(this.held.list().map(async held => await held.release()))
    const limit = pauseFor(this.clock, DRAIN_TIMEOUT)
    const finished = released.then(async () => await this.claims.waitForCounts()).then(async () => await this.holding.write())
    await Promise.race([finished, limit])
  }

  want (service: string, slots: number): void {
    const demand = this.demands.get(service) ?? { slots: 0, searching: false, nextSearch: 0 }
    this.demands.set(service, demand)
    demand.slots = slots
    // A daemon without servers can't run the items of its chunks, but others can.
    if (slots === 0) for (const held of this.held.listByService(service)) void held.release()
    this.prepare(service)
    void this.search(service, demand)
  }

  take (service: string): BatchWork | undefined {
    if (this.draining || this.held.countUnsavedBytes() > MAX_UNSAVED_BYTES) return undefined
    for (const held of this.held.listByService(service)) {
      if (!held.options.mayStart()) continue
      const work = held.take()
      if (work === undefined) continue
      this.finder.countUsage(work.caller, work.job)
      return work
    }
    return undefined
  }

  subscribe (listener: (service: string) => void): void {
    this.listeners.add(listener)
  }

  /** Calls `listener` with the name of each chunk that this daemon releases while its job is in progress. */
  subscribeFreed (listener: (chunk: string) => void): void {
    this.freedListeners.add(listener)
  }

  /** Returns the results of held chunks that are not yet known to be durable. */
  listUnsaved (): readonly SpoolEntry[] {
    return this.held.list().flatMap(held => held.unsaved.map(entry => ({ chunk: held.name, items: held.options.items.length, ...entry })))
  }

  /** Searches at once for work of these services, or of all, after work has been announced. */
  searchAgain (services: readonly string[] = [...this.demands.keys()]): void {
    this.announcements++
    this.finder.clearBusy()
    for (const service of services) {
      const demand = this.demands.get(service)
      if (demand === undefined) continue
      demand.nextSearch = 0
      void this.search(service, demand)
    }
  }

  private prepare (service: string): void {
    const slots = this.demands.get(service)?.slots ?? 0
    for (const held of this.held.listByService(service)) held.prepare(slots)
  }

  private notifyReady (service: string): void {
    this.prepare(service)
    for (const listener of this.listeners) listener(service)
  }

  private stopJob (job: string): void {
    for (const held of this.held.listByJob(job)) void held.release({ abort: true })
  }

  private recheckAll (): void {
    for (const held of this.held.list()) void held.check()
  }

  private searchAll (): void {
    for (const [service, demand] of this.demands) void this.search(service, demand)
  }

  private needsMore (service: string, { slots }: Demand): boolean {
    return !this.draining && this.held.countReady(service) < slots && this.held.countUnsavedBytes() <= MAX_UNSAVED_BYTES
  }

  /**
   * Runs one search at a time for each service; after one that found nothing, the next starts no sooner than after a
   * pause. An announcement may arrive after a running search has read the freed chunk as held and marked it busy.
   * That search is repeated at once: otherwise the chunk would wait for the pause to end, up to a minute in a large
   * fleet.
   */
  private async search (service: string, demand: Demand): Promise<void> {
    if (demand.searching || this.clock.now() < demand.nextSearch) return
    demand.searching = true
    while (this.needsMore(service, demand)) {
      const { announcements } = this
      if (await this.claimMore(service)) continue
      if (announcements !== this.announcements) {
        this.finder.clearBusy()
        continue
      }
      demand.nextSearch = this.clock.now() + planSearchPause(this.fleetSize)
      break
    }
    demand.searching = false
  }

  private async claimMore (service: string): Promise<boolean> {
    for await (const { job, chunk } of this.finder.find(service, this.held)) {
      if (this.draining) return false
      if (await this.claimChunk(job, chunk)) return true
    }
    return false
  }

  private async claimChunk (job: Job, { n, service, items }: { readonly n: number, readonly service: string, readonly items: number }): Promise<boolean> {
    const name = `${job.id}.${n}`
    const held = await this.claims.claim({
      job, n, service, items, mayStart: () => this.jobs.mayStart(job.id), onReady: () => this.notifyReady(service), onEnd: chunk => this.handleEnd(name, job, chunk)
    })
    if (!(held instanceof HeldChunk)) {
      this.finder.markBusy(name)
      return false
    }
    this.held.add(held)
    // The job may have been cancelled, or draining may have begun, during the claim.
    const inProgress = this.jobs.isWatching(job.id) || await this.jobs.check(job.id) !== undefined
    if (!inProgress || this.draining) void held.release({ abort: true })
    else this.notifyReady(service)
    return true
  }

  private handleEnd (name: string, job: Job, { closed, holder }: Chunk): void {
    this.held.remove(name)
    if (closed === undefined && holder === undefined && this.jobs.isWatching(job.id)) for (const listener of this.freedListeners) listener(name)
    if (this.held.listByJob(job.id).length === 0) this.jobs.remove(job.id)
  }
}

partRegistry.register({ name: 'chunk source', part: ChunkSource, needs: ['pause watch', 'configuration', 'job watch', 'holding record'] })
