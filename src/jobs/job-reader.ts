import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { waitForNext } from '../kernel/wait-for-next.js'
import type { LogSink } from '../observe/log-sink.js'
import { MemberCalls } from '../peers/member-calls.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { StoreError } from '../store/store-error.js'
import { JobRegistry } from './job-registry.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import { OwnedJob } from './owned-job.js'
import { readKnownJob } from './read-known-job.js'
import type { OwnerResponse } from './owner-response.js'
import type { OwnerRequest } from './owner-request.js'
import type { ResultsPage } from './results-page.js'

/** Beyond the time that a read may wait at the owner, ms: the way there and back. */
const CALL_SLACK = 300
/** Jobs whose stored results are kept at hand, which never change once stored. */
const MAX_CACHED = 100
const MAX_WAIT = 1_000
/** How often, and between two times how long, ms, it is tried that a stored job is run: longer than a store is away in most outages. */
const RUN_TRIES = 120
const RUN_PAUSE = 500
/** How often, and how long apart, ms, the owner of an ended job is told: one that takes it over is known by then. */
const STOP_TRIES = 10
const STOP_PAUSE = 300

type Failure = 'missing' | 'unsure'

/** Results and bodies of jobs, wherever they are owned: from the owner, or from the store where that one can't be asked. */
@scoped(Lifecycle.ContainerScoped)
export class JobReader implements Part {
  readonly extensions
  private readonly calls: MemberCalls<OwnerRequest, OwnerResponse>
  private readonly cached = new Map<string, OwnedJob>()

  constructor (
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(PeerLinks) links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.calls = new MemberCalls({ links, clock, name: 'job', handle: async request => await this.answer(request) })
    this.extensions = this.calls.extensions
  }

  /** Results from position `after` on; waits up to `wait` ms for one where there is none. */
  async readResults (job: string, after: number, wait: number): Promise<Result<ResultsPage, Failure>> {
    const own = await this.readOwn(job, after, Math.min(wait, MAX_WAIT))
    if (own !== undefined) return Ok(own)
    const response = await this.askOwner(job, { type: 'read', job, after, wait: Math.min(wait, MAX_WAIT) }, wait)
    if (response?.type === 'page') return Ok(response.page)
    const stored = await this.readStored(job)
    return stored.ok ? Ok(stored.val.readPage(after)) : stored
  }

  /** The body of an item, in base64. */
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

  /** Sees to it that the job stops, at whoever owns it or takes it over; resolves once that one knows, or has had some tries. */
  async stopAtOwner (job: string): Promise<void> {
    this.owner.end(job)
    const known = this.registry.get(job)
    if (known !== undefined && !known.closed) this.registry.publish({ ...known, closed: true })
    for (let tries = 0; tries < STOP_TRIES; tries++) {
      if (this.owner.find(job) !== undefined) return
      if (await this.askOwner(job, { type: 'end', job }, CALL_SLACK) !== undefined) {
        return this.log.write('info', 'jobs', 'told the owner of a job of its end', { job, owner: this.registry.get(job)?.owner, tries })
      }
      await pauseFor(this.clock, STOP_PAUSE)
    }
    this.log.write('warn', 'jobs', 'no owner of a job confirmed its end', { job, owner: this.registry.get(job)?.owner, tries: STOP_TRIES })
  }

  /**
   * Sees to it that somebody runs a job that is stored and whose owner may not know of it, because it was told that storing
   * the job had failed. Tried until it is so: a store that was busy for the one read of its head left a confirmed job that nobody ran.
   */
  async ensureRunning (job: string): Promise<void> {
    for (let tries = 0; tries < RUN_TRIES && !await this.tryEnsureRunning(job); tries++) await pauseFor(this.clock, RUN_PAUSE)
  }

  /** Whether somebody runs it now, or takes it over by rank because its owner has ended. */
  private async tryEnsureRunning (job: string): Promise<boolean> {
    if (this.owner.find(job) !== undefined) return true
    const header = await this.records.readHeader(job)
    if (header.err) return header.val.type === 'missing'
    this.registry.addIfAbsent(readKnownJob(job, header.val, { stored: true }))
    if (!this.owner.isOwnerAlive(header.val)) return true
    if (header.val.owner === this.settings.instance) return (await this.owner.adopt(job)).ok
    return await this.askOwner(job, { type: 'care', job }, CALL_SLACK) !== undefined
  }

  /** What this daemon knows of a job that it owns, where that can't be behind what was read elsewhere. */
  private async readOwn (id: string, after: number, wait: number): Promise<ResultsPage | undefined> {
    const job = this.owner.find(id)
    if (job === undefined || !await this.owner.ensureCurrent(job)) return undefined
    const page = job.readPage(after)
    if (page.results.length > 0 || wait <= 0 || job.isDone || job.ended) return page
    await waitForNext(this.clock, listener => job.subscribe(listener), wait)
    return job.readPage(after)
  }

  /** Asks the job's owner, where that is another daemon and alive. */
  private async askOwner (job: string, request: OwnerRequest, wait: number): Promise<OwnerResponse | undefined> {
    const known = this.registry.get(job)
    if (this.owner.find(job) !== undefined || known === undefined || known.owner === '' || !this.owner.isOwnerAlive(known)) return undefined
    return await this.calls.call(known.owner, request, wait + CALL_SLACK)
  }

  private async answer (request: OwnerRequest): Promise<OwnerResponse | undefined> {
    switch (request.type) {
      case 'read': {
        const page = await this.readOwn(request.job, request.after, request.wait)
        return page === undefined ? undefined : { type: 'page', page }
      }
      case 'body': {
        const job = this.owner.find(request.job)
        return job === undefined || job.isDone ? undefined : { type: 'body', body: job.find(request.item)?.body }
      }
      case 'end': {
        const isOwned = this.owner.find(request.job) !== undefined
        this.log.write('info', 'jobs', 'was told of the end of a job', { job: request.job, owned: isOwned })
        this.owner.end(request.job)
        return isOwned ? { type: 'done' } : undefined
      }
      case 'care': {
        const adopted = await this.owner.adopt(request.job)
        return adopted.ok ? { type: 'done' } : undefined
      }
    }
  }

  /** The stored results; those read before are kept, and only what came after is read. */
  private async readStored (id: string): Promise<Result<OwnedJob, Failure>> {
    let job = this.cached.get(id)
    if (job === undefined) {
      const header = await this.records.readHeader(id)
      if (header.err) return Err(readFailure(header.val))
      job = new OwnedJob({ id, header: header.val, items: [], segments: [], acceptedAt: 0 })
      this.cached.set(id, job)
      if (this.cached.size > MAX_CACHED) this.cached.delete(this.cached.keys().next().value!)
    }
    if (job.isDone) return Ok(job)
    const from = job.segments
    const segments = await this.records.readSegments(id, from)
    if (segments.err) return Err('unsure')
    segments.val.forEach((results, i) => job.addSegment(from + i, results))
    return Ok(job)
  }
}

function readFound (body: string | undefined): Result<string, Failure> {
  return body === undefined ? Err('missing') : Ok(body)
}

/** Only the store's own word that there is none says so. */
function readFailure ({ type }: StoreError): Failure {
  return type === 'missing' ? 'missing' : 'unsure'
}

partRegistry.register({ name: 'job reader', part: JobReader, needs: ['job owner', 'job book', 'peer links'] })
