import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { RoutedSettings } from '../entry/routed-settings.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { waitForNotification } from '../kernel/wait-for-notification.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { MemberCalls } from '../peers/member-calls.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { StoreError } from '../store/store-error.js'
import { isMessageSized } from './is-message-sized.js'
import { findPageProof } from './find-page-proof.js'
import { isProofRecent } from './is-proof-recent.js'
import { JobCopies } from './job-copies.js'
import { JobRegistry } from './registry/job-registry.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import { OwnedJob } from './owned-job.js'
import { readKnownJob } from './registry/read-known-job.js'
import type { OwnerResponse } from './owner-response.js'
import type { OwnerRequest } from './owner-request.js'
import type { PageProof } from './page-proof.js'
import type { ProvedPage } from './proved-page.js'
import { readNewSegments } from './read-new-segments.js'
import type { ResultsPage } from './results-page.js'

/** Added to the time that a read may wait at the owner, ms: the round trip. */
const CALL_SLACK = 300
const MAX_WAIT = 1_000 // ms
/** Attempts to make sure that a stored job of the registry runs, and the delay between two, ms: together longer than most outages of the store. */
const RUN_ATTEMPTS = 120
const RUN_PAUSE = 500
/** Attempts to stop an ended job at its owner, and the delay between two, ms: by the last one, a daemon that takes the job over is known. */
const STOP_ATTEMPTS = 10
const STOP_PAUSE = 300

/** Minimum time between two log lines on reads that could not be answered, ms. */
const LOG_PERIOD = 1_000
/** How long a read waits for the store where there are results in memory already, and where there are none, ms: a later answer proves nothing. */
const MAX_REFRESH = 300
const MAX_EMPTY_REFRESH = 700

type Failure = 'missing' | 'unsure'

/** Reads results and item bodies of jobs from the owner, or from the store where the owner can't be reached. */
@scoped(Lifecycle.ContainerScoped)
export class JobReader implements Part {
  readonly extensions
  private readonly calls: MemberCalls<OwnerRequest, OwnerResponse>
  private loggedAt = -Infinity

  constructor (
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(PeerLinks) links: PeerLinks,
    @inject(JobCopies) private readonly copies: Pick<JobCopies, 'find' | 'keep'>,
    @inject(PauseWatch) private readonly pauses: Pick<PauseWatch, 'beginRead'>,
    @inject(Metrics) private readonly metrics: Pick<Metrics, 'count'>,
    @inject(tokens.routedSettings) private readonly routed: Pick<RoutedSettings, 'resultKeep'>,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.calls = new MemberCalls({ links, clock, name: 'job', handle: async request => await this.answerIfItFits(request) })
    this.extensions = this.calls.extensions
  }

  /**
   * Returns the results from position `after` on; waits up to `wait` ms for one where there is none. Positions never change, so that a page with
   * results is right wherever it comes from. An empty one is returned only with a recent proof that it lacks nothing that callers may have read.
   */
  async readResults (job: string, after: number, wait: number): Promise<Result<ResultsPage, Failure>> {
    const limit = Math.min(wait, MAX_WAIT)
    const own = await this.readOwn(job, after, limit)
    if (own !== undefined) return this.recordPage('owner', own)
    const relayed = await this.readAtOwner(job, after, limit)
    if (relayed !== undefined) return this.recordPage('relayed', relayed)
    const stored = this.owner.find(job) === undefined ? await this.readStored(job, after) : Err('unsure' as const)
    if (stored.ok) return this.recordPage('store', stored.val)
    this.metrics.count('job_reads_total', { from: 'store', basis: stored.val })
    if (stored.val === 'unsure') this.logUnsure(job, after)
    return stored
  }

  /** Returns the body of an item, in base64. */
  async readBody (job: string, item: string): Promise<Result<string, Failure>> {
    const own = this.owner.find(job)
    if (own !== undefined && !own.isDone) return readFound(own.find(item)?.body)
    const response = await this.askOwner(job, { type: 'body', job, item }, 0)
    if (response?.type === 'body') return readFound(response.body)
    const header = await this.records.readHeader(job)
    if (header.err) return Err(readFailure(header.val))
    const items = await this.records.readItems(job, header.val)
    return items.ok ? readFound(items.val.find(({ id }) => id === item)?.body) : Err('unsure')
  }

  /** Stops an ended job at its owner or at the daemon that takes it over; resolves once that one has confirmed it, or after the last attempt. */
  async stopAtOwner (job: string): Promise<void> {
    this.owner.end(job)
    const known = this.registry.get(job)
    if (known !== undefined && !known.closed) this.registry.publish({ ...known, closed: true })
    for (let tries = 0; tries < STOP_ATTEMPTS; tries++) {
      if (this.owner.find(job) !== undefined) return
      if (await this.askOwner(job, { type: 'end', job }, CALL_SLACK) !== undefined) {
        return this.log.write('info', 'jobs', 'the owner of an ended job confirmed that it stopped', { job, owner: this.registry.get(job)?.owner, tries })
      }
      await pauseFor(this.clock, STOP_PAUSE)
    }
    this.log.write('warn', 'jobs', 'no owner of an ended job confirmed that it stopped', { job, owner: this.registry.get(job)?.owner, tries: STOP_ATTEMPTS })
  }

  /**
   * Makes sure that a stored job runs whose owner may not know that it is stored, because the store reported the write as failed. Retries,
   * since a single failed read of the header would otherwise leave a confirmed job that no daemon runs. Once the registry has the job,
   * `JobAdoption` of the owner or of its successor takes it over if these attempts don't succeed.
   */
  async ensureRunning (job: string): Promise<void> {
    for (let tries = 0; !await this.tryEnsureRunning(job); tries++) {
      if (tries >= RUN_ATTEMPTS && this.registry.get(job) !== undefined) return
      await pauseFor(this.clock, RUN_PAUSE)
    }
  }

  /** Returns true where a daemon runs the job or will take it over because its owner has ended, and where the job no longer exists. */
  private async tryEnsureRunning (job: string): Promise<boolean> {
    if (this.owner.find(job) !== undefined) return true
    const header = await this.records.readHeader(job)
    if (header.err) return header.val.type === 'missing'
    this.registry.addIfAbsent(readKnownJob(job, header.val, { stored: true }))
    if (!this.owner.isOwnerAlive(header.val)) return true
    if (header.val.owner === this.settings.instance) return (await this.owner.adopt(job)).ok
    return await this.askOwner(job, { type: 'care', job }, CALL_SLACK) !== undefined
  }

  /** Reads the results of a job that this daemon owns; undefined where it can't prove that there are none. */
  private async readOwn (id: string, after: number, wait: number): Promise<ProvedPage | undefined> {
    const job = this.owner.find(id)
    if (job === undefined) return undefined
    const first = await this.readProved(job, after)
    if (first === undefined || first.page.results.length > 0 || wait <= 0 || job.isDone || job.ended) return first
    await waitForNotification(this.clock, listener => job.subscribe(listener), wait)
    return await this.readProved(job, after)
  }

  /** Reads a page of an owned job; undefined if it is empty and may lack results, also because the job was released meanwhile. */
  private async readProved (job: OwnedJob, after: number): Promise<ProvedPage | undefined> {
    const known = job.readPage(after)
    if (known.results.length > 0 && (job.isDone || job.isSoleOwner(this.clock.now()))) return { page: known }
    return await this.readRefreshed(job, after, async () => {
      const proof = await this.owner.ensureCurrent(job)
      return job.isDone || this.owner.find(job.id) === job ? proof : undefined
    })
  }

  /** Reads a page after `refresh`, which adds stored results to the job, or without it where that takes long. */
  private async readRefreshed (job: OwnedJob, after: number, refresh: () => Promise<PageProof | undefined>): Promise<ProvedPage | undefined> {
    const limit = job.readPage(after).results.length > 0 ? MAX_REFRESH : MAX_EMPTY_REFRESH
    const proof = await Promise.race([refresh(), pauseFor(this.clock, limit).then(() => undefined)])
    const page = job.readPage(after)
    if (page.results.length > 0) return { page }
    return proof === undefined ? undefined : { page, proof }
  }

  /** Reads the results from the owner, if that is another daemon. A response that took long to arrive may no longer prove that there are none. */
  private async readAtOwner (job: string, after: number, wait: number): Promise<ProvedPage | undefined> {
    const findAsked = this.pauses.beginRead()
    const response = await this.askOwner(job, { type: 'read', job, after, wait }, wait)
    if (response?.type !== 'page') return undefined
    const { page, proof } = response
    if (page.results.length > 0) return { page }
    const counted = proof !== undefined && { ...proof, until: (findAsked() ?? -Infinity) + proof.until }
    return counted !== false && isProofRecent(counted, this.clock.now()) ? { page, proof: counted } : undefined
  }

  /** Calls the job's owner, if that is another daemon and alive. */
  private async askOwner (job: string, request: OwnerRequest, wait: number): Promise<OwnerResponse | undefined> {
    const known = this.registry.get(job)
    if (this.owner.find(job) !== undefined || known === undefined || known.owner === '' || !this.owner.isOwnerAlive(known)) return undefined
    return await this.calls.call(known.owner, request, wait + CALL_SLACK)
  }

  /** Answers another daemon; undefined where the response is too large for a message, so that the daemon reads the store. */
  private async answerIfItFits (request: OwnerRequest): Promise<OwnerResponse | undefined> {
    const response = await this.answer(request)
    return response !== undefined && isMessageSized(response) ? response : undefined
  }

  private async answer (request: OwnerRequest): Promise<OwnerResponse | undefined> {
    switch (request.type) {
      case 'read': {
        const received = this.clock.now()
        const own = await this.readOwn(request.job, request.after, request.wait)
        if (own?.proof === undefined) return own && { type: 'page', page: own.page }
        return { type: 'page', page: own.page, proof: { ...own.proof, until: own.proof.until - received } }
      }
      case 'body': {
        const job = this.owner.find(request.job)
        return job === undefined || job.isDone ? undefined : { type: 'body', body: job.find(request.item)?.body }
      }
      case 'end': {
        const isOwned = this.owner.find(request.job) !== undefined
        this.log.write('info', 'jobs', 'received a request to stop an ended job', { job: request.job, owned: isOwned })
        this.owner.end(request.job)
        return isOwned ? { type: 'done' } : undefined
      }
      case 'care': {
        const adopted = await this.owner.adopt(request.job)
        return adopted.ok && adopted.val !== undefined ? { type: 'done' } : undefined
      }
    }
  }

  /**
   * Reads a page of the stored results; earlier ones come from the copy of the job. Results past their retention time may be removed, the first ones before
   * the job itself, so that a missing segment then proves nothing.
   */
  private async readStored (id: string, after: number): Promise<Result<ProvedPage, Failure>> {
    const found = await Promise.race([this.findCopy(id), pauseFor(this.clock, MAX_EMPTY_REFRESH).then(() => Err('unsure' as const))])
    if (found.err) return found
    const job = found.val
    const page = await this.readRefreshed(job, after, async () => {
      if (!job.isDone) await readNewSegments(job, { records: this.records, beginRead: () => this.pauses.beginRead(), now: this.clock.now() })
      this.copies.keep(job)
      const isRemovable = this.clock.date() - job.header.submittedAt > this.routed.resultKeep
      return job.isDone || !isRemovable ? findPageProof(job, this.clock.now()) : undefined
    })
    return page === undefined ? Err('unsure') : Ok(page)
  }

  /** Returns the copy of a job. */
  private async findCopy (id: string): Promise<Result<OwnedJob, Failure>> {
    const kept = this.copies.find(id)
    if (kept !== undefined) return Ok(kept)
    const header = await this.records.readHeader(id)
    if (header.err) return Err(readFailure(header.val))
    const job = this.copies.find(id) ?? new OwnedJob({ id, header: header.val, items: [], segments: [], acceptedAt: 0 })
    this.copies.keep(job)
    return Ok(job)
  }

  private recordPage (from: 'owner' | 'relayed' | 'store', { page, proof }: ProvedPage): Result<ResultsPage, Failure> {
    this.metrics.count('job_reads_total', { from, basis: proof?.basis ?? 'results' })
    return Ok(page)
  }

  private logUnsure (id: string, after: number): void {
    const now = this.clock.now()
    if (now < this.loggedAt + LOG_PERIOD) return
    this.loggedAt = now
    const job = this.owner.find(id)
    const doubts = job === undefined ? {} : { shared: job.isShared, contested: now < job.contestedUntil, ended: job.ended, readAge: now - (job.lastRead.seen ?? -Infinity), doubtFor: job.doubtSince === undefined ? 0 : now - job.doubtSince }
    this.log.write('warn', 'jobs', 'could not tell whether a job has more results', { job: id, after, owned: job !== undefined, owner: this.registry.get(id)?.owner, ...doubts })
  }
}

function readFound (body: string | undefined): Result<string, Failure> {
  return body === undefined ? Err('missing') : Ok(body)
}

/** Reports a job as missing only where the store itself has answered so. */
function readFailure ({ type }: StoreError): Failure {
  return type === 'missing' ? 'missing' : 'unsure'
}

partRegistry.register({ name: 'job reader', part: JobReader, needs: ['job owner', 'job book', 'peer links', 'pause watch'] })
