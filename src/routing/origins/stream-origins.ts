import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../../config/configuration-holder.js'
import { rankOwners } from '../../coordination/rank-owners.js'
import { FleetWatch } from '../../fleet/fleet-watch.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import type { LogSink } from '../../observe/log-sink.js'
import { Metrics } from '../../observe/metrics.js'
import { listOthers } from '../../peers/list-others.js'
import { MemberCalls } from '../../peers/member-calls.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { InstanceList } from '../../store/instance-list.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { Beginning } from './beginning.js'
import { DurableOrigins } from './durable-origins.js'
import { findStoredOrigin } from './find-stored-origin.js'
import type { FoundOrigin } from './found-origin.js'
import { listResumablePools } from './list-resumable-pools.js'
import { OriginRecords } from './origin-records.js'
import { isWithdrawalDue } from './is-withdrawal-due.js'
import { planDefaultVersion } from './plan-default-version.js'
import { hashLongId } from './hash-long-id.js'
import type { StreamOrigin } from './stream-origin.js'
import { VersionHistory } from './version-history.js'

const TOLD = 'stream origin'
const DEFAULT_CHANGED = 'stream default'
/** Daemons that are told of each stream of a pool with several versions. */
const HOLDERS = 3
/** Size of a fleet up to which all other daemons are asked for the origin of a stream. */
const MAX_ASKED = 12
/** Daemons that are asked in a larger fleet: those that rank first for the stream. */
const ASKED_OF_LARGE_FLEET = 5
/** How long an answer is waited for, ms. */
const ASK_TIMEOUT = 150
/** Age of the list of servers above which it may lack a version, ms. */
const MAX_LIST_AGE = 6_000
/** How long after the end of an attempt its caller may resume the stream, ms; nothing bounds the number of attempts. */
const RESUMPTION_TIME = 60_000
const CHECK_PERIOD = 1_000
/** Period of reads while a pool's default is missing or none of its servers' versions, ms: the message that it has changed may be lost. */
const READ_PERIOD = 10_000
/** How long a pool must have had no server of its default version before that is withdrawn, ms: a list may lack servers for a while after an outage. */
const WITHDRAW_AFTER = 3_000

interface Question { readonly id: string, readonly pool: string }
/** Only a record of the stream counts: what another daemon sees of the servers may be as old as this one's view. */
interface Answer { readonly origin: StreamOrigin, readonly isRecorded: boolean }
/** A stream that a caller resumes, by the id of the attempt that brought its first event, if the caller names it. */
interface ResumedStream { readonly id: string | undefined, readonly pool: string }

interface StreamStart {
  /** The attempt that brought the first event. */
  readonly id: string
  readonly origin: StreamOrigin
  /** Longest time of one attempt, ms. */
  readonly span: number
  /** Of a stream that begins: how long its first event may wait, ms, and whether it could have begun at a server of a version. Absent for one that goes on. */
  readonly begins?: { readonly left: number, readonly mayBeginAt: (version: string) => boolean }
}

/**
 * Knows at which version of a server's software a stream began, so that it goes on at no other. The daemon that relays a stream keeps
 * its origin, and records it in the store unless it is the pool's default version; see `DurableOrigins`. Where the pool's servers have
 * several versions, it also tells a few other daemons, which rank by the stream's id: the store may be away. Where it sees one, the
 * default, nobody is told. What a daemon sees of the servers may be out of date, so it never decides where a stream goes on: a record
 * does, or the store as read after the caller has come.
 */
@scoped(Lifecycle.ContainerScoped)
export class StreamOrigins implements Part {
  /** Of streams that this daemon relayed, and of those that others told it. Not what it read from the store, which may be replaced there. */
  private readonly records = new OriginRecords()
  private readonly history = new VersionHistory()
  private readonly calls: MemberCalls<Question, Answer>
  readonly extensions
  private readonly durable: DurableOrigins
  private listedAt: number | undefined
  private readAt = -Infinity
  private cancel = (): void => {}

  constructor (
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(FleetWatch) private readonly fleet: FleetWatch,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.store) store: ObjectStore,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.durable = new DurableOrigins({ store, clock, instance: settings.instance, keep: RESUMPTION_TIME, countDaemons: () => members.all().length })
    this.calls = new MemberCalls({ links, clock, name: 'stream origin', handle: async question => this.answer(question) })
    this.extensions = [...this.calls.extensions, peerHandlerPoint.of({ type: TOLD, handle: message => this.receive(message) }), peerHandlerPoint.of({ type: DEFAULT_CHANGED, handle: () => { void this.durable.read() } })]
  }

  async start (): Promise<void> {
    const stopListening = this.list.subscribe(() => this.recordList())
    this.recordList()
    const stopChecking = this.clock.every(CHECK_PERIOD, () => {
      this.records.dropExpired(this.now)
      void this.checkDefaults()
    })
    void this.durable.read()
    this.cancel = () => {
      stopListening()
      stopChecking()
    }
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Finds where a new stream of a pool may begin so that it can be resumed after the end of all daemons. */
  findBeginning (pool: string, span: number): Beginning {
    if (!this.durable.isInDoubt) return { type: 'any' }
    const { defaults } = this.durable
    if (defaults === undefined) return this.listRecent(pool, span).length > 1 ? { type: 'unknown' } : { type: 'any' }
    const version = defaults.defaults.get(pool)
    return version === undefined ? { type: 'any' } : { type: 'default', version }
  }

  /** Whether the store would show another version without a record: the default, while it has servers, or one that isn't known here. */
  private hasOther ({ pool, version }: StreamOrigin, span: number, mayBeginAt: (version: string) => boolean): boolean {
    const { defaults } = this.durable
    if (defaults === undefined) return this.listRecent(pool, span).length > 1 && mayBeginAt(version)
    const other = defaults.defaults.get(pool)
    return other !== undefined && mayBeginAt(other)
  }

  /** Begins to record where a stream is expected to begin. */
  beginRecord (id: string, origin: StreamOrigin, span: number): void {
    this.durable.beginRecord(hashLongId(id), origin, span)
  }

  /**
   * Records the origin of a stream; its first event must not be relayed before this resolves, and not at all if the outcome is `unrecorded`: after
   * the end of all daemons it could go on at another version. Tells other daemons unless its version seems to be the only one.
   */
  async record ({ id: stream, origin, span, begins }: StreamStart): Promise<'recorded' | 'unrecorded'> {
    const id = hashLongId(stream)
    this.records.put(id, origin, this.now + span + RESUMPTION_TIME)
    if (!this.isOnlyVersion(origin, span)) this.tell(id, origin, span + RESUMPTION_TIME)
    this.durable.beginRecord(id, origin, span)
    const mustBeShown = begins !== undefined && (this.durable.isOverride(id) || this.hasOther(origin, span, begins.mayBeginAt))
    const isShown = await this.durable.record(id, origin, { span, ...mustBeShown && { wait: begins.left } })
    return isShown || !mustBeShown ? 'recorded' : 'unrecorded'
  }

  /** Finds the origin of a stream that a caller resumes. */
  async find ({ id: stream, pool }: ResumedStream): Promise<FoundOrigin> {
    const id = stream === undefined ? undefined : hashLongId(stream)
    const own = id === undefined ? undefined : this.records.find(id)
    if (own !== undefined) return { type: 'known', origin: own, by: 'own record' }
    const reading = this.durable.read()
    // Daemons know where the stream began; the store may still have the version that it was expected to begin at.
    const answer = id === undefined ? undefined : await this.ask({ id, pool })
    if (answer !== undefined) return { type: 'known', origin: answer.origin, by: 'peer' }
    return findStoredOrigin(await reading, { id, pool }) ?? { type: 'unknown' }
  }

  private get now (): number {
    return this.clock.now()
  }

  /** Whether all that this daemon has seen of the pool's servers, for one attempt's time at least, is of this version, the pool's default. */
  private isOnlyVersion ({ pool, version }: StreamOrigin, span: number): boolean {
    return this.durable.defaults?.defaults.get(pool) === version && this.age >= span && !this.isListOld && this.listRecent(pool, span).every(other => other === version)
  }

  /** Lists the versions that the pool's servers have or had while a stream of theirs may still be resumed. */
  private listRecent (pool: string, span: number): readonly string[] {
    return this.history.list(pool, this.now, span + RESUMPTION_TIME)
  }

  /** How long this daemon has known the servers, ms. */
  private get age (): number {
    return this.listedAt === undefined ? 0 : this.now - this.listedAt
  }

  private get isListOld (): boolean {
    return this.fleet.readServersAge() > MAX_LIST_AGE
  }

  /** Sets or changes the defaults of pools with one version, and withdraws those without servers; the daemon that ranks first for a pool does so. */
  private async checkDefaults (): Promise<void> {
    for (const [pool, span] of listResumablePools(this.configuration.value)) {
      const listed = this.history.list(pool, this.now, WITHDRAW_AFTER)
      const current = this.durable.defaults?.defaults.get(pool)
      const { isRecordedInTime } = this.durable
      const isKept = current !== undefined && !isWithdrawalDue({ current, isWithdrawn: false, listed, isRecordedInTime }) && listed.includes(current)
      if (this.isListOld || isKept) continue
      if (this.durable.defaults === undefined || this.now >= this.readAt + READ_PERIOD) {
        this.readAt = this.now
        await this.durable.read()
      }
      if (this.durable.defaults !== undefined && this.isFirst(pool)) await this.stepDefault(pool, { listed, recent: this.listRecent(pool, span), isWholeTimeKnown: this.age >= span + RESUMPTION_TIME })
    }
  }

  private async stepDefault (pool: string, { listed, recent, isWholeTimeKnown }: { readonly listed: readonly string[], readonly recent: readonly string[], readonly isWholeTimeKnown: boolean }): Promise<void> {
    const view = { current: this.durable.defaults?.defaults.get(pool), isWithdrawn: this.durable.defaults?.withdrawn.has(pool) === true }
    const planned = planDefaultVersion({ ...view, recent, isWholeTimeKnown })
    if (planned !== undefined || isWithdrawalDue({ ...view, listed, isRecordedInTime: this.durable.isRecordedInTime })) await this.changeDefault(pool, planned)
  }

  private isFirst (pool: string): boolean {
    const { instance } = this.settings
    return rankOwners(pool, [instance, ...listOthers(this.members.all(), instance)])[0] === instance
  }

  private async changeDefault (pool: string, version: string | undefined): Promise<void> {
    const { log, members, settings, links } = this
    await this.durable.putDefault(pool, version)
    log.write('info', 'routing', 'changed the default version of streams', { pool, planned: version, stored: this.durable.defaults?.defaults.get(pool) })
    for (const name of listOthers(members.all(), settings.instance)) links.send(name, { type: DEFAULT_CHANGED })
  }

  private recordList (): void {
    if (this.list.all.length > 0) this.listedAt ??= this.now
    const servers = this.list.all.map(({ name, pool }) => ({ pool, version: this.list.findVersion(name)! }))
    for (const pool of this.history.record(servers, this.now)) {
      for (const [id, { origin, until }] of this.records.list(pool)) this.tell(id, origin, until - this.now)
    }
  }

  private tell (id: string, { pool, version }: StreamOrigin, keep: number): void {
    const others = listOthers(this.members.all(), this.settings.instance)
    for (const name of rankOwners(id, others).slice(0, HOLDERS)) {
      this.metrics.count('stream_origin_messages_total', { type: 'told' })
      this.links.send(name, { type: TOLD, id, pool, version, keep })
    }
  }

  private receive ({ id, pool, version, keep }: PeerMessage): void {
    if (typeof id !== 'string' || typeof pool !== 'string' || typeof version !== 'string' || !(Number(keep) > 0)) return
    this.records.put(id, { pool, version }, this.now + Number(keep))
  }

  private answer ({ id }: Partial<Question>): Answer | undefined {
    const origin = id === undefined ? undefined : this.records.find(id)
    return origin === undefined ? undefined : { origin, isRecorded: true }
  }

  /** Asks other daemons; resolves within `ASK_TIMEOUT` with the first record, or undefined once none has one. */
  private async ask (question: Question): Promise<Answer | undefined> {
    const others = listOthers(this.members.all(), this.settings.instance)
    const asked = others.length < MAX_ASKED ? others : rankOwners(question.id, others).slice(0, ASKED_OF_LARGE_FLEET)
    const calls = asked.map(async name => {
      this.metrics.count('stream_origin_messages_total', { type: 'asked' })
      const answer = await this.calls.call(name, question, ASK_TIMEOUT)
      if (answer?.isRecorded !== true) throw new Error(`${name} has no record of the stream`)
      return answer
    })
    return await Promise.any(calls).catch(() => undefined)
  }
}

partRegistry.register({ name: 'stream origins', part: StreamOrigins, needs: ['instance list', 'fleet watch', 'members', 'peer links'] })
