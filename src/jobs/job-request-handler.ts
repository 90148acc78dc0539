import type { ServerResponse } from 'node:http'
import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Route } from '../config/route.js'
import type { EntryDialect } from '../entry/entry-dialect.js'
import { buildMemoryRefusal } from '../entry/build-memory-refusal.js'
import { sendRoutedRefusal } from '../entry/send-routed-refusal.js'
import { sendJson } from '../http/send-json.js'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { failUnreachable } from '../kernel/unreachable.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import type { RequestMemory } from '../entry/request-memory.js'
import type { StoreError } from '../store/store-error.js'
import type { AcceptError } from './accept-error.js'
import { JobRegistry } from './registry/job-registry.js'
import { findJobRoute } from './find-job-route.js'
import { findItemFault } from './find-item-fault.js'
import { hasMoreValues } from './has-more-values.js'
import type { JobCall } from './job-call.js'
import type { JobItem } from './job-item.js'
import type { JobRoute } from './job-route.js'
import { JobOwner } from './job-owner.js'
import { JobReader } from './job-reader.js'
import { JobRecords } from './job-records.js'
import type { KnownJob } from './registry/known-job.js'
import { readKnownJob } from './registry/read-known-job.js'

const ACCEPTED = 202
const BAD_REQUEST = 400
const NOT_FOUND = 404
const TOO_MANY = 429
/** Retry delay sent to callers while the store can't take a job, ms. */
const STORE_RETRY = 800
/** Retry delay sent to callers while a route has too many waiting tokens, s: about the run time of a few items. */
const FULL_RETRY = 2
/** Memory that the text of a job and its items take while it is read, besides its body, as multiples of that. */
const TEXT_SIZE = 1
const ITEMS_SIZE = 1
/** Longest id of a job, characters: every daemon keeps it. */
const MAX_ID = 256
/** Most values in the text of a job: 500 for each of 200 items. */
const MAX_VALUES = 100_000

interface Submission {
  readonly id: string
  readonly route: Route
  readonly path: string
  /** The caller whose key it had; undefined where none is needed. */
  readonly caller: string | undefined
  readonly body: Buffer
  readonly arrived: number
  readonly memory: Pick<RequestMemory, 'grow' | 'shrink'>
}

/** Where a call is answered, and the memory that the answer takes until it is read. */
interface CallAnswer {
  readonly res: ServerResponse
  readonly memory: Pick<RequestMemory, 'grow'>
}

/** Handles callers' requests about jobs: submits, reads and ends them. */
@scoped(Lifecycle.ContainerScoped)
export class JobRequestHandler {
  /** Jobs that are being accepted, and confirmed ones until the registry has them, by id; their tokens count against the limit of the route. */
  private readonly accepting = new Map<string, Pick<KnownJob, 'host' | 'path' | 'route' | 'caller'> & { readonly tokens: number }>()

  constructor (
    @inject(tokens.entryDialect) private readonly dialect: EntryDialect,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobReader) private readonly reader: JobReader,
    @inject(JobRecords) private readonly records: JobRecords
  ) {}

  async submit ({ id, route, path, caller, body, arrived, memory }: Submission, res: ServerResponse): Promise<void> {
    if (hasMoreValues(body, MAX_VALUES)) return this.refuseBad(id, res, `items: more than ${MAX_VALUES} values`)
    if (!memory.grow((TEXT_SIZE + ITEMS_SIZE) * body.length)) return this.refuseWithoutMemory(id, res)
    const items = this.dialect.readItems(body)
    if (items === undefined || id === '') return sendJson(res, BAD_REQUEST, { cause: 'bad job', detail: 'items: must be 1 to 200 with an id, a path and a body each' })
    if (id.length > MAX_ID) return this.refuseBad(id, res, `the id of a job must have at most ${MAX_ID} characters`)
    if (JobRecords.isReserved(id)) return sendJson(res, BAD_REQUEST, { cause: 'bad job', detail: 'the id of a job must not end in .owner' })
    const known = this.registry.get(id)
    if (known !== undefined && !mayUse(known, caller)) return this.answerFailure('missing', id, res)
    if (known?.stored === true) return this.confirm(id, res, 'known')
    const fault = findJobFault(items)
    if (fault !== undefined && await this.refuseFaulty(id, fault, res)) return
    const size = items.reduce((sum, item) => sum + item.tokens, 0)
    if (!this.fits({ id, route, caller, size })) {
      const stored = await this.isStored(id)
      if (stored.err) return this.refuse(id, res, 'not run', stored.val.type)
      if (!stored.val) return this.refuseOverLimit(id, size, res)
    }
    const routed = { host: route.host, path, route: this.identify(route) }
    this.accepting.set(id, { ...routed, caller, tokens: size })
    // From here on, the items count among those of all jobs.
    memory.shrink(ITEMS_SIZE * body.length)
    const accepted = await this.owner.accept(id, { ...routed, configuration: this.configuration.value.version, ...caller !== undefined && { caller } }, items)
    if (accepted.ok || accepted.val.type !== 'conflict') this.accepting.delete(id)
    this.metrics.observe('job_accept_ms', this.clock.now() - arrived)
    if (accepted.ok) return this.confirm(id, res, 'accepted', items)
    if (accepted.val.type === 'conflict') return await this.confirmStored(id, caller, res)
    if (accepted.val.type === 'no memory') return this.refuseWithoutMemory(id, res)
    this.refuse(id, res, mayHaveRun(accepted.val) ? 'unknown' : 'not run', accepted.val.type)
  }

  /** Answers a request about a job; a job of another caller is answered like one that doesn't exist. */
  async answer (call: JobCall, caller: string | undefined, answer: CallAnswer): Promise<void> {
    const access = await this.findAccess(call.job, caller)
    if (access !== 'granted') return this.answerFailure(access, call.job, answer.res)
    switch (call.type) {
      case 'read': return await this.read(call, answer)
      case 'read item': return await this.readItem(call, answer)
      case 'end': return await this.end(call, answer.res)
      default: return failUnreachable(call)
    }
  }

  /** Returns the route of an accepted job that its caller submits again, at a path that may select another route by now. */
  findRepeatedRoute ({ id, host, path }: Pick<KnownJob, 'id' | 'host' | 'path'>): Route | undefined {
    const known = this.registry.get(id)
    return known?.host === host && known.path === path ? findJobRoute(this.configuration.value.routes ?? {}, known) : undefined
  }

  /** Whether the job is known and was submitted without a key. */
  isPublic (job: string): boolean {
    const known = this.registry.get(job)
    return known !== undefined && known.caller === undefined
  }

  /** Whether the caller may use the job. Every job may be used without keys, and one that was submitted without a key may always be. */
  private async findAccess (job: string, caller: string | undefined): Promise<'granted' | 'missing' | 'unsure'> {
    if (!(this.configuration.value.requiresKeys ?? false)) return 'granted'
    const known = this.owner.find(job)?.header ?? this.registry.get(job)
    if (known !== undefined) return mayUse(known, caller) ? 'granted' : 'missing'
    const header = await this.records.readHeader(job)
    if (header.ok) return mayUse(header.val, caller) ? 'granted' : 'missing'
    return header.val.type === 'missing' ? 'missing' : 'unsure'
  }

  private async read ({ job, after, wait }: Extract<JobCall, { type: 'read' }>, { res, memory }: CallAnswer): Promise<void> {
    const page = await this.reader.readResults(job, after, wait)
    if (page.err) return this.answerFailure(page.val, job, res)
    if (!memory.grow(page.val.results.reduce((sum, { text }) => sum + text.length, 0))) return this.refuseWithoutMemory(job, res)
    sendJson(res, 200, this.dialect.showResults(page.val))
  }

  private async readItem ({ job, item }: Extract<JobCall, { type: 'read item' }>, { res, memory }: CallAnswer): Promise<void> {
    const body = await this.reader.readBody(job, item)
    if (body.err) return this.answerFailure(body.val, job, res)
    if (!memory.grow(body.val.length)) return this.refuseWithoutMemory(job, res)
    const bytes = Buffer.from(body.val, 'base64')
    res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes.length })
    res.end(bytes)
  }

  /** Answers once the end is stored, so that a daemon that takes the job over later reads it. */
  private async end ({ job }: Extract<JobCall, { type: 'end' }>, res: ServerResponse): Promise<void> {
    const known = this.registry.get(job)
    if (known === undefined) {
      const header = await this.records.readHeader(job)
      if (header.err) return this.answerFailure(header.val.type === 'missing' ? 'missing' : 'unsure', job, res)
      this.registry.addIfAbsent(readKnownJob(job, header.val, { stored: true }))
    }
    const ended = await this.records.end(job)
    if (ended.err) return this.answerUnsure(job, res, mayHaveRun(ended.val) ? 'unknown' : 'not run')
    this.log.write('info', 'jobs', 'a caller ended a job', { job, owner: known?.owner, known: known !== undefined })
    void this.reader.stopAtOwner(job)
    sendJson(res, 200, {})
  }

  private answerFailure (failure: 'missing' | 'unsure', job: string, res: ServerResponse): void {
    if (failure === 'unsure') return this.answerUnsure(job, res, 'not run')
    this.log.write('info', 'jobs', 'could not answer a request about a job', { job, failure })
    sendJson(res, NOT_FOUND, { cause: 'no such job or item' })
  }

  private answerUnsure (job: string, res: ServerResponse, ran: 'not run' | 'unknown'): void {
    this.log.write('info', 'jobs', 'could not answer a request about a job', { job, failure: 'unsure', ran })
    sendRoutedRefusal(res, { cause: 'platform', ran, retryAfter: this.random.spread(STORE_RETRY, 0.5), detail: 'the store does not answer' })
  }

  private identify (route: Route): JobRoute {
    const [name] = Object.entries(this.configuration.value.routes ?? {}).find(([, other]) => other === route) ?? []
    return { pathPrefix: route.pathPrefix, ...name !== undefined && { name } }
  }

  /** Whether the route's limit admits the job besides all others. */
  private fits ({ id, route, caller, size }: Pick<Submission, 'id' | 'route' | 'caller'> & { readonly size: number }): boolean {
    const limit = route.jobs?.maxWaitingTokens ?? 0
    if (limit === 0) return true
    const { name = '' } = this.identify(route)
    const routes = { [name]: route }
    const isOn = (job: Pick<KnownJob, 'host' | 'path' | 'route' | 'caller'>): boolean => job.caller === caller && findJobRoute(routes, job) === route
    const unpublished = [...this.accepting].filter(([other, job]) => other !== id && this.registry.get(other) === undefined && isOn(job))
    const accepting = unpublished.reduce((sum, [, job]) => sum + job.tokens, 0)
    return this.registry.countWaitingTokens(isOn) + accepting + size <= limit
  }

  /** Whether the job was accepted before, perhaps by a daemon that hasn't published it yet; an error where the store can't tell. */
  private async isStored (id: string): Promise<Result<boolean, StoreError>> {
    const header = await this.records.readHeader(id)
    if (header.ok) return Ok(true)
    return header.val.type === 'missing' ? Ok(false) : header
  }

  /** Confirms a job that an earlier attempt has stored. */
  private async confirmStored (id: string, caller: string | undefined, res: ServerResponse): Promise<void> {
    if (caller !== undefined && await this.findAccess(id, caller) === 'missing') {
      this.accepting.delete(id)
      return this.answerFailure('missing', id, res)
    }
    void this.reader.ensureRunning(id).finally(() => this.accepting.delete(id))
    this.confirm(id, res, 'stored before')
  }

  /** Refuses a job of which an item can't be sent, unless it was accepted before. Returns whether it did. */
  private async refuseFaulty (id: string, fault: string, res: ServerResponse): Promise<boolean> {
    const header = await this.records.readHeader(id)
    if (header.ok) return false
    if (header.val.type !== 'missing') {
      this.refuse(id, res, 'not run', header.val.type)
      return true
    }
    this.refuseBad(id, res, fault)
    return true
  }

  private refuseBad (id: string, res: ServerResponse, fault: string): void {
    this.log.write('warn', 'jobs', 'refused a job', { request: id.slice(0, MAX_ID), cause: fault })
    this.metrics.count('jobs_total', { outcome: 'bad job' })
    sendJson(res, BAD_REQUEST, { cause: 'bad job', detail: fault })
  }

  private refuseOverLimit (id: string, size: number, res: ServerResponse): void {
    this.log.write('warn', 'jobs', 'refused a job', { request: id, cause: 'too many tokens wait', tokens: size })
    this.metrics.count('jobs_total', { outcome: 'full' })
    sendJson(res, TOO_MANY, { cause: 'too many tokens wait' }, { 'retry-after': this.random.spread(FULL_RETRY).toFixed(3) })
  }

  private refuse (id: string, res: ServerResponse, ran: 'not run' | 'unknown', error: string): void {
    this.log.write('warn', 'jobs', 'could not accept a job', { request: id, error, ran })
    this.metrics.count('jobs_total', { outcome: error })
    sendRoutedRefusal(res, { cause: 'platform', ran, retryAfter: this.random.spread(STORE_RETRY, 0.5), detail: 'the store does not answer' })
  }

  /** Refuses a request about a job for want of memory. */
  private refuseWithoutMemory (id: string, res: ServerResponse): void {
    this.log.write('warn', 'jobs', 'refused a request about a job for want of memory', { request: id })
    this.metrics.count('jobs_total', { outcome: 'no memory' })
    sendRoutedRefusal(res, buildMemoryRefusal(this.random))
  }

  private confirm (id: string, res: ServerResponse, how: string, items: readonly JobItem[] = []): void {
    this.log.write('info', 'jobs', 'confirmed a job', { request: id, how, items: items.length, configuration: this.configuration.value.version })
    this.metrics.count('jobs_total', { outcome: how })
    sendJson(res, ACCEPTED, {})
  }
}

/** Returns why one of the items can't be sent to any server. */
function findJobFault (items: readonly JobItem[]): string | undefined {
  for (const item of items) {
    const fault = findItemFault(item)
    if (fault !== undefined) return `item ${JSON.stringify(item.id)}: ${fault}`
  }
  return undefined
}

/** Whether a failed request may have taken effect, or may still do so. */
function mayHaveRun (error: AcceptError): boolean {
  switch (error.type) {
    case 'no memory':
    case 'limited':
    case 'unavailable': return false
    case 'conflict':
    case 'unknown':
    case 'missing':
    case 'invalid': return true
    default: return failUnreachable(error)
  }
}

function mayUse (job: Pick<KnownJob, 'caller'>, caller: string | undefined): boolean {
  return job.caller === undefined || job.caller === caller
}

partRegistry.register({ name: 'jobs', part: JobRequestHandler, needs: ['job reader', 'job owner'] })
