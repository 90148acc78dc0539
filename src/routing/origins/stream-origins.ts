import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../../coordination/rank-owners.js'
import { FleetWatch } from '../../fleet/fleet-watch.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Metrics } from '../../observe/metrics.js'
import { listOthers } from '../../peers/list-others.js'
import { MemberCalls } from '../../peers/member-calls.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { InstanceList } from '../../store/instance-list.js'
import type { FoundOrigin } from './found-origin.js'
import { OriginRecords } from './origin-records.js'
import type { StreamOrigin } from './stream-origin.js'
import { VersionHistory } from './version-history.js'

const TOLD = 'stream origin'
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
/** Added to the time for which a stream may be resumed, ms: its caller's clock starts earlier or later. */
const MARGIN = 1_000
const CHECK_PERIOD = 1_000

/** Without an id, it is asked for the only version. */
interface Question { readonly id: string | undefined, readonly pool: string, readonly span: number }
/** `isRecorded`: of this stream; otherwise it is the only version that the daemon knows of. */
interface Answer { readonly origin: StreamOrigin, readonly isRecorded: boolean }

interface StreamStart {
  /** The attempt that brought the first event. */
  readonly id: string
  readonly origin: StreamOrigin
  /** How long its caller may resume it, ms. */
  readonly span: number
}

/**
 * Knows at which version of a server's software a stream began, so that it goes on at no other. The daemon that relays a stream keeps
 * its origin. Where the pool's servers have several versions, it tells a few other daemons before it relays the first event, which
 * rank by the stream's id, so that any daemon finds them again after the first one has ended. Where they have had one for as long as a stream may
 * be resumed, nobody is told or asked.
 */
@scoped(Lifecycle.ContainerScoped)
export class StreamOrigins implements Part {
  private readonly records = new OriginRecords()
  private readonly history = new VersionHistory()
  private readonly calls: MemberCalls<Question, Answer>
  readonly extensions
  private listedAt: number | undefined
  private cancel = (): void => {}

  constructor (
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(FleetWatch) private readonly fleet: FleetWatch,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.calls = new MemberCalls({ links, clock, name: 'stream origin', handle: async question => this.answer(question) })
    this.extensions = [...this.calls.extensions, peerHandlerPoint.of({ type: TOLD, handle: message => this.receive(message) })]
  }

  async start (): Promise<void> {
    const stopListening = this.list.subscribe(() => this.recordList())
    this.recordList()
    const stopChecking = this.clock.every(CHECK_PERIOD, () => this.records.dropExpired(this.clock.now()))
    this.cancel = () => {
      stopListening()
      stopChecking()
    }
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Records the origin of a stream whose first event is about to be relayed; tells other daemons if it isn't the only version. */
  record ({ id, origin, span }: StreamStart): void {
    const { now } = this
    this.records.put(id, origin, now + span + MARGIN)
    if (!this.isOnlyVersion(origin.pool, span)) this.tell(id, origin, span + MARGIN)
  }

  /** Finds the origin of a stream that a caller resumes; `span` is the longest time for which it may, ms. Resolves within `ASK_TIMEOUT`. */
  async find ({ id, pool, span }: { readonly id: string | undefined, readonly pool: string, readonly span: number }): Promise<FoundOrigin> {
    const own = id === undefined ? undefined : this.records.find(id)
    if (own !== undefined) return { type: 'known', origin: own, by: 'own record' }
    const only = this.findOnlyVersion(pool, span)
    if (only !== undefined) return { type: 'known', origin: only, by: 'only version' }
    const origin = await this.ask({ id, pool, span })
    return origin === undefined ? { type: 'unknown' } : { type: 'known', origin, by: 'peer' }
  }

  private get now (): number {
    return this.clock.now()
  }

  private isOnlyVersion (pool: string, span: number): boolean {
    return this.findOnlyVersion(pool, span) !== undefined
  }

  /**
   * Returns the origin of any stream of the pool if its servers have had one version for as long as a stream lasts. A daemon that has
   * just started doesn't know, nor does one whose list is old.
   */
  private findOnlyVersion (pool: string, span: number): StreamOrigin | undefined {
    const { now } = this
    if (this.listedAt === undefined || now - this.listedAt < span || this.fleet.readServersAge() > MAX_LIST_AGE) return undefined
    const versions = this.history.list(pool, now, span)
    return versions.length === 1 ? { pool, version: versions[0]! } : undefined
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

  private answer ({ id, pool, span }: Question): Answer | undefined {
    const recorded = id === undefined ? undefined : this.records.find(id)
    if (recorded !== undefined) return { origin: recorded, isRecorded: true }
    const only = this.findOnlyVersion(pool, span)
    return only === undefined ? undefined : { origin: only, isRecorded: false }
  }

  /** Whether this daemon has seen no other version either; the daemon that answers may not have heard of one yet. */
  private agrees ({ origin: { pool, version }, isRecorded }: Answer, span: number): boolean {
    return isRecorded || this.history.list(pool, this.now, span).every(other => other === version)
  }

  /** Asks other daemons; resolves with the first origin, or undefined once none has one. */
  private async ask (question: Question): Promise<StreamOrigin | undefined> {
    const others = listOthers(this.members.all(), this.settings.instance)
    const asked = others.length < MAX_ASKED ? others : rankOwners(question.id ?? this.settings.instance, others).slice(0, ASKED_OF_LARGE_FLEET)
    const calls = asked.map(async name => {
      this.metrics.count('stream_origin_messages_total', { type: 'asked' })
      const answer = await this.calls.call(name, question, ASK_TIMEOUT)
      if (answer === undefined || !this.agrees(answer, question.span)) throw new Error(`${name} has no record of the stream`)
      return answer.origin
    })
    const origin = await Promise.any(calls).catch(() => undefined)
    if (origin !== undefined && question.id !== undefined) this.records.put(question.id, origin, this.now + question.span + MARGIN)
    return origin
  }
}

partRegistry.register({ name: 'stream origins', part: StreamOrigins, needs: ['instance list', 'fleet watch', 'members', 'peer links'] })
