import { inject, Lifecycle, scoped } from 'tsyringe'
import { Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { findDomainLeader } from '../peers/find-domain-leader.js'
import { MemberCalls } from '../peers/member-calls.js'
import { Members } from '../peers/members.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { StoreError } from '../store/store-error.js'
import { StoreMirror } from '../store/store-mirror.js'
import { JobRecords } from './job-records.js'
import type { OwnerProcess } from './owner-process.js'

/** Age in ms up to which a read of the store answers further requests. */
const MAX_READ_AGE = 800
/** Timeout of a call to the domain leader, ms: a round trip and a read of the store. */
const LEADER_TIMEOUT = 400
/**
 * How long a leader that gave no answer is skipped, ms. Otherwise every daemon of its failure domain would read the store itself for as long
 * as the unresponsive leader is a member.
 */
const LEADER_SKIP_TIME = 5_000

interface LookupRequest { readonly jobs: readonly string[] }

interface StoredEnds {
  /** The requested jobs that have ended. */
  readonly ended: readonly string[]
  /** By requested job that was taken over: the recorded processes that may own it. */
  readonly owners: Readonly<Record<string, readonly OwnerProcess[]>>
}

/** `age` in ms is that of the read of the store. */
interface LookupResponse extends StoredEnds { readonly age: number }

/** What the store held at `readAt`, monotonic ms. */
interface EndedJobs extends StoredEnds { readonly readAt: number }

/**
 * Looks up which jobs have been ended by their callers, and which processes have taken them over. The domain leader reads the store on behalf of all daemons of its failure domain and
 * shares one read among requests that come close together, so that the load on the store doesn't grow with the fleet. A daemon reads the store
 * itself where the leader doesn't answer. The age that a leader reports counts back from the time of the request, so that a slow response
 * never makes a read appear newer than it is.
 */
@scoped(Lifecycle.ContainerScoped)
export class EndedJobLookup {
  readonly extensions
  private readonly calls: MemberCalls<LookupRequest, LookupResponse>
  private readonly mirror = new StoreMirror<true | readonly OwnerProcess[]>()
  /** When the last successful read began, monotonic ms. */
  private readAt = -Infinity
  private reading: Promise<Result<number, StoreError>> | undefined
  /** By leader that gave no answer: until when it is skipped for the next in rank, monotonic ms. */
  private readonly skippedUntil = new Map<string, number>()

  constructor (
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(Members) private readonly members: Pick<Members, 'all'>,
    @inject(PeerLinks) links: Pick<PeerLinks, 'send'>,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance' | 'failureDomain'>,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.calls = new MemberCalls({ links, clock, name: 'job ends', handle: async ({ jobs }) => await this.answer(jobs) })
    this.extensions = this.calls.extensions
    pauses.subscribe(() => { this.readAt = -Infinity })
  }

  /** Returns which of the jobs have been ended, with the time of the read of the store that shows it. */
  async find (jobs: readonly string[]): Promise<Result<EndedJobs, StoreError>> {
    return await this.askLeader(jobs) ?? (await this.read()).map(readAt => ({ ...this.findStored(jobs), readAt }))
  }

  /** Returns undefined where this daemon is the leader, or the leader gave no answer. */
  private async askLeader (jobs: readonly string[]): Promise<Result<EndedJobs, StoreError> | undefined> {
    const { instance, failureDomain } = this.settings
    const asked = this.clock.now()
    const leader = findDomainLeader(this.members.all().filter(member => asked >= (this.skippedUntil.get(member.instance.name) ?? -Infinity)), failureDomain)
    if (leader === undefined || leader === instance) return undefined
    const answer = await this.calls.call(leader, { jobs }, LEADER_TIMEOUT)
    if (answer !== undefined && Number.isFinite(answer.age)) return Ok({ ended: answer.ended, owners: answer.owners ?? {}, readAt: asked - answer.age })
    this.skippedUntil.set(leader, this.clock.now() + LEADER_SKIP_TIME)
    return undefined
  }

  private async answer (jobs: readonly string[]): Promise<LookupResponse | undefined> {
    if (!Array.isArray(jobs)) return undefined
    const read = await this.read()
    return read.ok ? { ...this.findStored(jobs), age: this.clock.now() - read.val } : undefined
  }

  private findStored (jobs: readonly string[]): StoredEnds {
    const owners = jobs.flatMap(job => {
      const recorded = this.mirror.get(JobRecords.buildOwnerName(job))
      return recorded === undefined || recorded === true ? [] : [[job, recorded] as const]
    })
    return { ended: jobs.filter(job => this.mirror.get(job) === true), owners: Object.fromEntries(owners) }
  }

  /** Reads the store unless the last read is recent enough. Returns when the read began, monotonic ms. */
  private async read (): Promise<Result<number, StoreError>> {
    this.pauses.check()
    if (this.clock.now() - this.readAt <= MAX_READ_AGE) return Ok(this.readAt)
    this.reading ??= this.readStore().finally(() => { this.reading = undefined })
    return await this.reading
  }

  /** Repeats a read during which the process was paused: its result may be from before the pause. */
  private async readStore (): Promise<Result<number, StoreError>> {
    const { count } = this.pauses
    const began = this.clock.now()
    const batch = await this.records.readEndedJobs(this.mirror.cursor)
    this.pauses.check()
    if (count !== this.pauses.count) return await this.readStore()
    if (batch.err) return batch
    this.mirror.apply(batch.val)
    this.readAt = began
    return Ok(began)
  }
}

partRegistry.register({ name: 'end lookup', part: EndedJobLookup, needs: ['members', 'peer links', 'pause watch'] })
