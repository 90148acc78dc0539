import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { StoreError } from '../store/store-error.js'
import type { AcceptError } from './accept-error.js'
import { countUnsavedEvents } from './count-unsaved-events.js'
import { findOwnerStatus } from './find-owner-status.js'
import { isPublicationDue } from './is-publication-due.js'
import { JobRegistry } from './registry/job-registry.js'
import type { ItemProgress } from './item-progress.js'
import type { JobHeader } from './job-header.js'
import type { JobItem } from './job-item.js'
import { JobMemory } from './job-memory.js'
import { JobRecords } from './job-records.js'
import { JobRunner } from './job-runner.js'
import type { KnownJob } from './registry/known-job.js'
import { listWholeResults } from './list-whole-results.js'
import type { OwnerProcess } from './owner-process.js'
import { OwnedJob } from './owned-job.js'
import type { PageProof } from './page-proof.js'
import { ProgressHandover } from './progress-handover.js'
import { ResultWriter } from './result-writer.js'

/** How long a shutdown waits for results to be stored, and how often it checks, ms. */
const STORE_WAIT = 1_500
const STORE_CHECK = 100
/** When a job that is to be taken over may fit beside the others, ms. */
const MEMORY_RETRY = 1_000

/**
 * The jobs that this daemon owns: those that it accepted, and those that it took over from a daemon that has ended. The successor is determined
 * by rank. Two daemons may own a job for a while: some items then run twice, but results stay consistent because each segment is created once.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobOwner implements Part {
  readonly extensions = [peerHandlerPoint.of({ type: ProgressHandover.messageType, handle: message => this.receiveProgress(message) })]
  private readonly owned = new Map<string, OwnedJob>()
  private readonly handover: ProgressHandover
  /** Jobs whose takeover or acceptance is in progress. */
  private readonly adopting = new Set<string>()
  private readonly writer: ResultWriter
  private draining = false

  constructor (
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(JobRunner) private readonly runner: JobRunner,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) links: Pick<PeerLinks, 'send'>,
    @inject(JobMemory) private readonly memory: Pick<JobMemory, 'take' | 'keep' | 'release'>,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.handover = new ProgressHandover(links)
    this.writer = new ResultWriter({ records, clock, log, pauses, isDraining: () => this.draining, isOwned: job => this.owned.get(job.id) === job, onStored: job => this.handleStored(job) })
  }

  async start (): Promise<void> {
    this.runner.subscribe(job => { void this.writer.store(job) })
    this.registry.subscribe(({ id, closed, removedAt }) => {
      if (closed) this.handleClosed(id)
      if (removedAt !== undefined) this.dropClosed(id)
    })
  }

  /** Stores the pending results and releases every job, so that other daemons take them over at once. */
  async drain (): Promise<void> {
    this.draining = true
    const end = this.clock.now() + STORE_WAIT
    while (this.clock.now() < end && [...this.owned.values()].some(({ pending }) => pending.length > 0)) {
      for (const job of this.owned.values()) void this.writer.store(job)
      await pauseFor(this.clock, STORE_CHECK)
    }
    for (const job of [...this.owned.values()]) {
      this.remove(job)
      const [next] = rankOwners(job.id, this.members.owners().filter(name => name !== this.settings.instance))
      if (next !== undefined) this.handover.send(job, next)
      this.registry.publish(this.buildReleasedJob(job))
      job.notify()
    }
  }

  private receiveProgress ({ job, progress }: PeerMessage): void {
    if (!Array.isArray(progress)) return
    const id = String(job)
    const owned = this.owned.get(id)
    if (owned !== undefined) owned.applyProgress(progress as readonly ItemProgress[])
    else this.handover.add(id, progress as readonly ItemProgress[])
  }

  find (id: string): OwnedJob | undefined {
    return this.owned.get(id)
  }

  list (): readonly OwnedJob[] {
    return [...this.owned.values()]
  }

  /** Releases a job to another daemon that owns it too, and sends that one the progress of its items here. */
  releaseTo (job: OwnedJob, to: string): void {
    this.remove(job)
    this.handover.send(job, to)
    job.notify()
  }

  /** Ensures that the job's results here include all that callers may have read at any daemon; returns the proof, or undefined if there is none. */
  async ensureCurrent (job: OwnedJob): Promise<PageProof | undefined> {
    return await this.writer.confirmCurrent(job)
  }

  /** Applies the stored record of the processes that took a job over. The last one may have stored results that are missing here, also if it has ended. */
  applyRecordedOwners (id: string, processes: readonly OwnerProcess[]): void {
    const job = this.owned.get(id)
    const other = processes.find(process => this.mayRun(process)) ?? processes.slice(-1).find(process => !this.isSelf(process))
    if (job === undefined || job.isShared || other === undefined) return
    this.log.write('info', 'jobs', 'found another owner of a job in the store', { job: id, owner: other.owner })
    job.isShared = true
  }

  /** Whether this is another process than this one and may still run. */
  private mayRun (process: OwnerProcess): boolean {
    return !this.isSelf(process) && findOwnerStatus(process, this.members.findRun(process.owner)) !== 'ended'
  }

  private isSelf ({ owner, run }: OwnerProcess): boolean {
    return owner === this.settings.instance && run === this.members.run
  }

  /** Accepts a job. `Ok` means that it is stored durably, `conflict` that it was accepted before, `no memory` that nothing was tried. */
  async accept (id: string, job: Pick<JobHeader, 'host' | 'path' | 'route' | 'configuration' | 'caller'>, items: readonly JobItem[]): Promise<Result<void, AcceptError>> {
    if (!this.memory.take(id, items)) return Err({ type: 'no memory' })
    const findReadAt = this.pauses.beginRead()
    const header = { ...job, submittedAt: this.clock.date(), total: items.length, tokens: items.reduce((sum, { tokens }) => sum + tokens, 0), owner: this.settings.instance, run: this.members.run }
    this.adopting.add(id)
    const created = await this.records.create(id, header, items).finally(() => this.adopting.delete(id))
    if (created.ok) this.addOwned(new OwnedJob({ id, header: { ...header, parts: 0 }, items, segments: [], acceptedAt: this.clock.now(), readAt: findReadAt() }))
    if (!this.owned.has(id)) this.memory.release(id)
    return created
  }

  /** Takes over a job whose header is stored. Returns undefined for one that is being accepted or taken over, and while draining. */
  async adopt (id: string): Promise<Result<OwnedJob | undefined, StoreError>> {
    const known = this.owned.get(id)
    if (known !== undefined || this.adopting.has(id) || this.draining) return Ok(known)
    this.adopting.add(id)
    return await this.load(id).finally(() => this.adopting.delete(id))
  }

  /** Stops a job that its caller has ended; none of its items start from here on. */
  end (id: string): void {
    const job = this.owned.get(id)
    if (job === undefined) return
    if (!job.ended) this.log.write('info', 'jobs', 'stopped an ended job', { job: id, results: job.readPage(0).next, of: job.header.total })
    job.ended = true
    this.close(job)
  }

  /** Stops a job at once if its end is stored. Where the store doesn't answer, `EndedJobWatch` finds it later. */
  async checkEnded (id: string): Promise<void> {
    if (!this.isRunning(id)) return
    const ended = await this.records.isEnded(id)
    if (ended.ok && ended.val) this.end(id)
  }

  private isRunning (id: string): boolean {
    const job = this.owned.get(id)
    return job !== undefined && !job.ended && !job.isDone
  }

  /** Drops a job that is no longer stored, here and from the registry of all daemons. */
  forget (id: string): void {
    const job = this.owned.get(id)
    if (job !== undefined) this.remove(job)
    this.handover.take(id)
    this.registry.forget(id)
  }

  private remove (job: OwnedJob): void {
    this.runner.remove(job)
    this.owned.delete(job.id)
    this.memory.release(job.id)
  }

  /** Drops a job that another daemon has removed. An open one stays until this daemon itself finds that it is no longer stored. */
  private dropClosed (id: string): void {
    const job = this.owned.get(id)
    if (job !== undefined && (job.ended || job.isDone)) this.forget(id)
  }

  /** Whether the process that owns the job is alive; a restarted daemon is another process. */
  isOwnerAlive ({ owner, run }: OwnerProcess): boolean {
    return run !== 0 && this.members.all().some(member => member.instance.name === owner && member.run === run && member.state !== 'leaving')
  }

  private async load (id: string): Promise<Result<OwnedJob | undefined, StoreError>> {
    const findReadAt = this.pauses.beginRead()
    const header = await this.records.readHeader(id)
    if (header.err) return header
    const segments = await this.records.readSegments(id)
    if (segments.err) return segments
    if (listWholeResults(segments.val).length >= header.val.total) return Ok(this.addDone(id, header.val, segments.val))
    const formerOwner = this.registry.get(id) ?? header.val
    const [items, ended, checkpoint, others] = await Promise.all([
      this.records.readItems(id, header.val),
      this.records.isEnded(id),
      this.records.readProgress(id),
      this.records.recordOwner(id, { owner: this.settings.instance, run: this.members.run }, { former: [formerOwner], mayRun: process => this.mayRun(process) })
    ])
    if (items.err) return items
    if (ended.err) return ended
    if (checkpoint.err) return checkpoint
    if (others.err) return others
    if (!this.memory.take(id, items.val)) return Err({ type: 'limited', retryAfter: MEMORY_RETRY })
    const age = Math.max(0, this.clock.date() - header.val.submittedAt)
    const job = new OwnedJob({ id, header: header.val, items: items.val, segments: segments.val, acceptedAt: this.clock.now() - age, readAt: findReadAt(), formerOwner })
    if (others.val.length > 0) job.holdResults(this.clock.now())
    job.ended = ended.val
    for (const progress of [checkpoint.val, this.handover.take(id)]) job.applyProgress(progress)
    this.log.write('info', 'jobs', 'took a job over', { job: id, from: header.val.owner, age, results: job.readPage(0).next, of: header.val.total, events: countUnsavedEvents(job.items, []), ended: job.ended, otherOwners: others.val.length })
    const isClosed = this.registry.get(id)?.closed === true
    this.addOwned(job)
    if (job.ended) this.close(job)
    else if (isClosed) void this.checkEnded(id)
    return Ok(job)
  }

  /** Adds a finished job for its readers. Its items are most of its data and aren't loaded. */
  private addDone (id: string, header: JobHeader, segments: Parameters<typeof listWholeResults>[0]): OwnedJob {
    const job = new OwnedJob({ id, header, items: [], segments, acceptedAt: this.clock.now() })
    this.handover.take(id)
    this.addOwned(job)
    this.close(job)
    return job
  }

  /** Adds a job, unless it was accepted and taken over at the same time. While draining, this daemon still accepts jobs but publishes them without an owner, for other daemons to run. */
  private addOwned (job: OwnedJob): void {
    if (this.draining) return this.registry.publish(this.buildReleasedJob(job))
    if (this.owned.has(job.id)) return
    this.memory.keep(job.id, job.items.map(({ item }) => item))
    this.owned.set(job.id, job)
    this.runner.add(job)
    this.registry.publish(this.buildKnownJob(job))
  }

  private close (job: OwnedJob): void {
    this.runner.remove(job)
    job.dropBodies()
    this.memory.release(job.id)
    this.registry.publish(this.buildKnownJob(job))
    job.notify()
  }

  /** Builds the entry that this daemon publishes for a job that it owns. */
  buildKnownJob (job: OwnedJob): KnownJob {
    const { id, header: { host, path, route, caller, submittedAt } } = job
    return { id, host, path, ...route !== undefined && { route }, ...caller !== undefined && { caller }, submittedAt, owner: this.settings.instance, run: this.members.run, tokensLeft: job.ended ? 0 : job.tokensLeft, stored: true, closed: job.ended || job.isDone }
  }

  /** Builds the entry for a job that this daemon no longer owns, for others to adopt. */
  private buildReleasedJob (job: OwnedJob): KnownJob {
    return { ...this.buildKnownJob(job), owner: '', run: 0 }
  }

  /** Handles a published closing of a job: the job stops here only if its end is stored. */
  private handleClosed (id: string): void {
    this.handover.take(id)
    if (this.isRunning(id)) void this.checkEnded(id)
  }

  private handleStored (job: OwnedJob): void {
    if (job.isDone) this.close(job)
    else this.publishIfChanged(job)
  }

  /** Publishes a job whose registry entry differs from it. */
  publishIfChanged (job: OwnedJob): void {
    const [entry, current, now] = [this.registry.get(job.id), this.buildKnownJob(job), this.clock.now()]
    if (entry === undefined || !isPublicationDue(entry, current, { sincePublished: now - job.publishedAt })) return
    job.publishedAt = now
    this.registry.publish(current)
  }
}

partRegistry.register({ name: 'job owner', part: JobOwner, needs: ['job runner', 'members', 'peer links', 'pause watch'] })
