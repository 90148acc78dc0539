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

/** Oldest read of the store, ms, that answers another question too. */
const MAX_READ_AGE = 800
/** How long the answer of a hub is waited for, ms: the way there and back, and a read of the store. */
const LEADER_TIMEOUT = 400
/** How long a hub that gave no answer is passed over, ms. Without that, each daemon of its failure domain reads the store for as long as the hub is a member. */
const LEADER_SKIP_TIME = 5_000

interface LookupRequest { readonly jobs: readonly string[] }

/** Those of the jobs that have ended, and how old the read of the store is that says so, ms. */
interface LookupResponse { readonly ended: readonly string[], readonly age: number }

/** Those of the jobs that have ended; of the others none had at `seen`, monotonic ms. */
interface EndedJobs { readonly ended: readonly string[], readonly readAt: number }

/**
 * Which jobs have ended, by the store. The hub of a failure domain reads the store for all daemons of it that ask within a moment, so that
 * calls don't grow with the fleet; where it doesn't answer, a daemon reads the store itself. The age of what a hub says counts
 * from when it was asked: however long the answer takes, it proves no more than it may.
 */
@scoped(Lifecycle.ContainerScoped)
export class EndedJobLookup {
  readonly extensions
  private readonly calls: MemberCalls<LookupRequest, LookupResponse>
  private readonly mirror = new StoreMirror<boolean>()
  /** Begin of the last read that succeeded, monotonic ms. */
  private readAt = -Infinity
  private reading: Promise<Result<number, StoreError>> | undefined
  /** Hubs that gave no answer: until when the next in rank is asked, monotonic ms. */
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

  async find (jobs: readonly string[]): Promise<Result<EndedJobs, StoreError>> {
    return await this.askLeader(jobs) ?? (await this.read()).map(readAt => ({ ended: this.filterEnded(jobs), readAt }))
  }

  /** Undefined where this daemon is the hub, or there is no answer. */
  private async askLeader (jobs: readonly string[]): Promise<Result<EndedJobs, StoreError> | undefined> {
    const { instance, failureDomain } = this.settings
    const asked = this.clock.now()
    const leader = findDomainLeader(this.members.all().filter(member => asked >= (this.skippedUntil.get(member.instance.name) ?? -Infinity)), failureDomain)
    if (leader === undefined || leader === instance) return undefined
    const answer = await this.calls.call(leader, { jobs }, LEADER_TIMEOUT)
    if (answer !== undefined) return Ok({ ended: answer.ended, readAt: asked - answer.age })
    this.skippedUntil.set(leader, this.clock.now() + LEADER_SKIP_TIME)
    return undefined
  }

  private async answer (jobs: readonly string[]): Promise<LookupResponse | undefined> {
    if (!Array.isArray(jobs)) return undefined
    const read = await this.read()
    return read.ok ? { ended: this.filterEnded(jobs), age: this.clock.now() - read.val } : undefined
  }

  private filterEnded (jobs: readonly string[]): readonly string[] {
    return jobs.filter(job => this.mirror.isPresent(job))
  }

  /** Reads the store unless that was just done; gives the begin of the read. */
  private async read (): Promise<Result<number, StoreError>> {
    this.pauses.check()
    if (this.clock.now() - this.readAt <= MAX_READ_AGE) return Ok(this.readAt)
    this.reading ??= this.readStore().finally(() => { this.reading = undefined })
    return await this.reading
  }

  /** A read that a pause fell into may be from before the pause, and is repeated. */
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
