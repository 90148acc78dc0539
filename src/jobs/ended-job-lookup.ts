import { inject, Lifecycle, scoped } from 'tsyringe'
import { Ok, Result } from 'ts-results'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { findDomainLeader } from '../peers/find-domain-leader.js'
import { listDomainLeaders } from '../peers/list-domain-leaders.js'
import type { Member } from '../peers/member.js'
import { MemberCalls } from '../peers/member-calls.js'
import { Members } from '../peers/members.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { StoreError } from '../store/store-error.js'
import { StoreMirror } from '../store/store-mirror.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { JobRecords } from './job-records.js'
import type { OwnerProcess } from './owner-process.js'

/** Age in ms up to which a read of the store answers further requests. */
const MAX_READ_AGE = 800
/** Age in ms up to which a failed read answers requests of other daemons, so that a store that refuses many daemons gets no further reads for them. */
const MAX_FAILURE_AGE = 300
/** Timeout of a call to another daemon, ms: a round trip and a read of the store. */
const CALL_TIMEOUT = 400
/**
 * How long a daemon that gave no answer is skipped, ms. Otherwise every daemon of its failure domain would read the store itself for as long
 * as the unresponsive leader is a member.
 */
const SKIP_TIME = 5_000
/** Most daemons that are asked in turn once a daemon's own read has failed: together with that read they stay below the age up to which items wait. */
const MAX_RELAYS = 3
/** Time between two searches for a relay, ms. While the store refuses all daemons, each sends a few messages a second for them. */
const RELAY_SEARCH_PERIOD = 1_000
/** Time between two checks whether the store can be read without a relay again, ms. */
const RELAY_CHECK_PERIOD = 5_000

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
 * itself where the leader doesn't answer. Where the store refuses that read too, a relay reads for it: the next in rank of its failure domain
 * or the leader of another one, because a store may refuse a daemon or a failure domain and serve the others. The age that another daemon
 * reports counts back from the time of the request, so that a slow response never makes a read appear newer than it is.
 */
@scoped(Lifecycle.ContainerScoped)
export class EndedJobLookup {
  readonly extensions
  private readonly calls: MemberCalls<LookupRequest, LookupResponse>
  private readonly mirror = new StoreMirror<true | readonly OwnerProcess[]>()
  /** When the last successful read began, monotonic ms. */
  private readAt = -Infinity
  /** When the last failed read ended, monotonic ms. */
  private failedAt = -Infinity
  private reading: Promise<Result<number, StoreError>> | undefined
  /** By daemon that gave no answer: until when it is skipped for the next in rank, monotonic ms. */
  private readonly skippedUntil = new Map<string, number>()
  /** The daemon that reads the store for this one, and when to check whether it is still needed, monotonic ms. */
  private relay: { readonly name: string, readonly checkAt: number } | undefined
  /** When a relay may be searched again, monotonic ms. */
  private searchAt = -Infinity

  constructor (
    @inject(JobRecords) private readonly records: Pick<JobRecords, 'readEndedJobs'>,
    @inject(Members) private readonly members: Pick<Members, 'all'>,
    @inject(PeerLinks) links: Pick<PeerLinks, 'send'>,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance' | 'failureDomain'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.calls = new MemberCalls({ links, clock, name: 'job ends', handle: async ({ jobs }) => await this.answer(jobs) })
    this.extensions = this.calls.extensions
    pauses.subscribe(() => { this.readAt = -Infinity })
  }

  /** Returns which of the jobs have been ended, with the time of the read of the store that shows it. */
  async find (jobs: readonly string[]): Promise<Result<EndedJobs, StoreError>> {
    const relayed = await this.askRelay(jobs)
    if (relayed !== undefined) return Ok(relayed)
    const found = await this.findDirectly(jobs)
    if (found.ok) return found
    const relay = await this.findRelay(jobs)
    return relay === undefined ? found : Ok(relay)
  }

  /** Finds the ends at the domain leader or by an own read of the store. */
  private async findDirectly (jobs: readonly string[]): Promise<Result<EndedJobs, StoreError>> {
    const { instance, failureDomain } = this.settings
    const leader = findDomainLeader(this.listResponsive(), failureDomain)
    const found = leader === undefined || leader === instance ? undefined : await this.ask(leader, jobs)
    return found === undefined ? (await this.read()).map(readAt => ({ ...this.findStored(jobs), readAt })) : Ok(found)
  }

  /** Asks the present relay, if there is one. Meanwhile checks from time to time whether it is still needed. */
  private async askRelay (jobs: readonly string[]): Promise<EndedJobs | undefined> {
    if (this.relay === undefined) return undefined
    const { name, checkAt } = this.relay
    if (this.clock.now() >= checkAt) void this.checkRelay(name, jobs)
    const found = await this.ask(name, jobs)
    if (found === undefined && this.relay?.name === name) this.relay = undefined
    return found
  }

  private async checkRelay (name: string, jobs: readonly string[]): Promise<void> {
    this.relay = { name, checkAt: this.clock.now() + RELAY_CHECK_PERIOD }
    if ((await this.findDirectly(jobs)).ok) this.relay = undefined
  }

  /** Asks other daemons in turn until one can read the store, which becomes the relay. */
  private async findRelay (jobs: readonly string[]): Promise<EndedJobs | undefined> {
    if (this.clock.now() < this.searchAt) return undefined
    this.searchAt = this.clock.now() + RELAY_SEARCH_PERIOD
    for (const name of this.listRelays()) {
      const found = await this.ask(name, jobs)
      if (found === undefined) continue
      this.log.write('info', 'jobs', 'looks up ended jobs through another daemon', { daemon: name, jobs: jobs.length })
      this.relay = { name, checkAt: this.clock.now() + RELAY_CHECK_PERIOD }
      return found
    }
    return undefined
  }

  /** Lists the next in rank of the own failure domain and leaders of others, each daemon in its own order, so that no leader relays for all. */
  private listRelays (): readonly string[] {
    const { instance, failureDomain } = this.settings
    const others = this.listResponsive().filter(member => member.instance.name !== instance)
    return [findDomainLeader(others, failureDomain) ?? [], rankOwners(instance, listDomainLeaders(others, failureDomain))].flat().slice(0, MAX_RELAYS)
  }

  private listResponsive (): readonly Member[] {
    const now = this.clock.now()
    return this.members.all().filter(({ instance: { name } }) => now >= (this.skippedUntil.get(name) ?? -Infinity))
  }

  /** Asks a daemon for its read of the store; undefined where it gave no answer or can't read the store. */
  private async ask (name: string, jobs: readonly string[]): Promise<EndedJobs | undefined> {
    const asked = this.clock.now()
    const answer = await this.calls.call(name, { jobs }, CALL_TIMEOUT)
    if (answer !== undefined && Number.isFinite(answer.age) && Array.isArray(answer.ended)) return { ended: answer.ended, owners: answer.owners ?? {}, readAt: asked - answer.age }
    this.skippedUntil.set(name, this.clock.now() + SKIP_TIME)
    return undefined
  }

  private async answer (jobs: readonly string[]): Promise<LookupResponse | undefined> {
    if (!Array.isArray(jobs) || this.clock.now() - this.failedAt <= MAX_FAILURE_AGE) return undefined
    const read = await this.read()
    return read.ok ? { ...this.findStored(jobs), age: this.clock.now() - read.val } : undefined
  }

  private findStored (jobs: readonly string[]): StoredEnds {
    const owners = jobs.flatMap(job => {
      const recorded = this.mirror.get(JobRecords.buildOwnerName(job))
      return Array.isArray(recorded) ? [[job, recorded] as const] : []
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
    const applied = batch.andThen(changes => this.apply(changes))
    if (applied.err) {
      this.failedAt = this.clock.now()
      return applied
    }
    this.readAt = began
    this.failedAt = -Infinity
    return Ok(began)
  }

  private apply (changes: WatchBatch<true | readonly OwnerProcess[]>): Result<unknown, StoreError> {
    return Result.wrap(() => this.mirror.apply(changes)).mapErr(error => ({ type: 'invalid', reason: String(error) }))
  }
}

partRegistry.register({ name: 'end lookup', part: EndedJobLookup, needs: ['members', 'peer links', 'pause watch'] })
