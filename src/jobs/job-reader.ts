import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { waitForNotification } from '../kernel/wait-for-notification.js'
import type { LogSink } from '../observe/log-sink.js'
import { MemberCalls } from '../peers/member-calls.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { StoreError } from '../store/store-error.js'
import { JobRegistry } from './registry/job-registry.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import { OwnedJob } from './owned-job.js'
import { readKnownJob } from './registry/read-known-job.js'
import type { OwnerResponse } from './owner-response.js'
import type { OwnerRequest } from './owner-request.js'
import type { ResultsPage } from './results-page.js'

/** Added to the time that a read may wait at the owner, ms: the round trip. */
const CALL_SLACK = 300
/** Maximum number of jobs whose stored results are cached; stored results never change. */
const MAX_CACHED = 100
const MAX_WAIT = 1_000 // ms
/** Attempts to make sure that a stored job of the registry runs, and the delay between two, ms: together longer than most outages of the store. */
const RUN_ATTEMPTS = 120
const RUN_PAUSE = 500
/** Attempts to stop an ended job at its owner, and the delay between two, ms: by the last one, a daemon that takes the job over is known. */
const STOP_ATTEMPTS = 10
const STOP_PAUSE = 300

type Failure = 'missing' | 'unsure'

/** Reads results and item bodies of jobs from the owner, or from the store where the owner can't be reached. */
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

  /** Returns the results from position `after` on; waits up to `wait` ms for one where there is none. */
  async readResults (job: string, after: number, wait: number): Promise<Result<ResultsPage, Failure>> {
    const own = await this.readOwn(job, after, Math.min(wait, MAX_WAIT))
    if (own !== undefined) return Ok(own)
    const response = await this.askOwner(job, { type: 'read', job, after, wait: Math.min(wait, MAX_WAIT) }, wait)
    if (response?.type === 'page') return Ok(response.page)
    const stored = await this.readStored(job)
    return stored.ok ? Ok(stored.val.readPage(after)) : stored
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

  /** Reads the results of a job that this daemon owns; undefined where they may be behind those of another owner. */
  private async readOwn (id: string, after: number, wait: number): Promise<ResultsPage | undefined> {
    const job = this.owner.find(id)
    if (job === undefined || !await this.owner.ensureCurrent(job)) return undefined
    const page = job.readPage(after)
    if (page.results.length > 0 || wait <= 0 || job.isDone || job.ended) return page
    await waitForNotification(this.clock, listener => job.subscribe(listener), wait)
    return job.readPage(after)
  }

  /** Calls the job's owner, if that is another daemon and alive. */
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

  /** Reads the stored results; earlier ones come from the cache. */
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
    const from = job.segmentCount
    const segments = await this.records.readSegments(id, from)
    if (segments.err) return Err('unsure')
    segments.val.forEach((results, i) => job.addSegment(from + i, results))
    return Ok(job)
  }
}

function readFound (body: string | undefined): Result<string, Failure> {
  return body === undefined ? Err('missing') : Ok(body)
}

/** Reports a job as missing only where the store itself has answered so. */
function readFailure ({ type }: StoreError): Failure {
  return type === 'missing' ? 'missing' : 'unsure'
}

partRegistry.register({ name: 'job reader', part: JobReader, needs: ['job owner', 'job book', 'peer links'] })
