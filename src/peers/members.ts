import { inject, Lifecycle, scoped } from 'tsyringe'
import { createMembership } from '../coordination/membership/create-membership.js'
import type { MemberRecord } from '../coordination/membership/member-record.js'
import { stepMembership } from '../coordination/membership/membership.js'
import type { MembershipEvent } from '../coordination/membership/membership-event.js'
import type { MembershipMessage } from '../coordination/membership/membership-message.js'
import type { MembershipState } from '../coordination/membership/membership-state.js'
import { isAddressGone } from '../http/is-address-gone.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import { InstanceList } from '../store/instance-list.js'
import type { Member } from './member.js'
import { PeerAddresses } from './peer-addresses.js'
import { listLarge } from './list-large.js'
import { listEligibleOwners } from './list-eligible-owners.js'
import { peerHandlerPoint } from './peer-handler-point.js'
import { PeerLinks } from './peer-links.js'
import { readInstance } from './read-instance.js'

const ENTRY_POOL = 'entry'
/** Period of membership ticks, ms: the longest that the protocol allows, because each tick wakes the process. */
const TICK_PERIOD = 250
/** Period of the checks whether all members have acknowledged a leave, ms. */
const LEAVE_CHECK_PERIOD = 20
/** Time after which a leave is announced again, ms. */
const LEAVE_RESEND_PERIOD = 500
/** Time after which a leave ends without all acknowledgements, ms. */
const LEAVE_TIMEOUT = 5_000

/** Holds the daemons of the fleet as seen by this one, which probe each other. The platform's list only seeds it. */
@scoped(Lifecycle.ContainerScoped)
export class Members implements Part {
  readonly extensions = [peerHandlerPoint.of({
    type: 'membership',
    handle: ({ m }, from) => {
      const message = m as MembershipMessage
      this.step({ type: 'message', from, message })
      if (message.type === 'ack' && message.n >= this.leaveSequence) this.unacknowledged.delete(from)
    }
  })]

  /** Wall-clock start of this process, ms. */
  readonly run: number
  private state: MembershipState
  private readonly listeners = new Set<() => void>()
  private port = 0
  private ready = false
  private cancel = (): void => {}
  private lastOwners = ''
  private leaveSequence = Infinity
  /** Members that have not acknowledged that this one leaves. */
  private unacknowledged = new Set<string>()

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(PeerAddresses) private readonly addresses: PeerAddresses,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(Timeline) private readonly timeline: Timeline
  ) {
    this.run = clock.date()
    this.state = createMembership({ name: settings.instance, incarnation: this.run, data: {}, now: clock.now() })
  }

  async start (): Promise<void> {
    this.state = createMembership({ name: this.settings.instance, incarnation: this.run, data: this.readSelf(), now: this.clock.now() })
    this.pauses.subscribe(() => this.step({ type: 'paused', incarnation: Math.max(this.clock.date(), this.record.incarnation + 1) }))
    this.list.subscribe(() => this.applyInstanceList())
    this.links.subscribeClosed(peer => { void this.checkProcessEnded(peer) })
    this.applyInstanceList()
    this.cancel = this.clock.every(TICK_PERIOD, () => {
      this.pauses.check()
      this.step({ type: 'tick' })
      this.checkOwnerChange()
    })
  }

  async stop (): Promise<void> {
    this.cancel()
    this.step({ type: 'end' })
  }

  /** This daemon. */
  get self (): Member {
    return readMember(this.record)
  }

  /** Returns all daemons that are not known to be dead, including this one. */
  all (): readonly Member[] {
    return [...this.state.members.values()].filter(({ status }) => status !== 'dead').map(readMember)
  }

  /**
   * Returns the names of the daemons that may own jobs and servers, of `region` if given: alive or suspect, not leaving. Empty
   * after a pause of this process until another daemon has made contact, because the view from before the pause may be
   * outdated.
   */
  owners (region?: string): readonly string[] {
    this.pauses.check()
    if (!this.state.settled) return []
    return listEligibleOwners(this.state.members.values(), { self: this.settings.instance, now: this.clock.now(), region })
  }

  /** Returns the owners that have at least half of the processor time of the largest, to decide for many others. */
  largeOwners (): readonly string[] {
    return listLarge(this.owners().map(name => ({ name, cores: Number(this.state.members.get(name)?.data.cores ?? 0) })))
  }

  /** Returns the latest known start of a daemon's process, wall-clock ms, dead or not; undefined where none is known. */
  findRun (name: string): number | undefined {
    const run = this.state.members.get(name)?.data.run
    return run === undefined ? undefined : Number(run)
  }

  /** Calls `listener` after each change. Returns a function that unsubscribes it. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Announces the port of this daemon, and whether it is ready for callers. */
  update ({ port = this.port, ready = this.ready }: { readonly port?: number, readonly ready?: boolean }): void {
    this.port = port
    this.ready = ready
    this.step({ type: 'updated', data: this.readSelf() })
  }

  /**
   * Announces that this daemon leaves. Resolves once all alive members have acknowledged it, or after 5 s. A member that can't
   * be reached in that time suspects this daemon, and then no longer names it to callers either.
   */
  async leave (): Promise<void> {
    this.leaveSequence = this.state.sequence + 1
    this.unacknowledged = new Set(this.all().filter(({ state }) => state === 'alive').map(({ instance }) => instance.name))
    this.unacknowledged.delete(this.settings.instance)
    const end = this.clock.now() + LEAVE_TIMEOUT
    do {
      this.step({ type: 'leave' })
      await this.waitForAcknowledgements(LEAVE_RESEND_PERIOD)
    } while (this.listUnacknowledged().length > 0 && this.clock.now() < end)
  }

  private async waitForAcknowledgements (time: number): Promise<void> {
    await new Promise<void>(resolve => {
      const end = (): void => {
        stopPoll()
        stopWait()
        resolve()
      }
      const stopPoll = this.clock.every(LEAVE_CHECK_PERIOD, () => this.listUnacknowledged().length === 0 && end())
      const stopWait = this.clock.after(time, end)
    })
  }

  /**
   * Checks whether a process has ended after a link to it closed. Detection by probes takes seconds, in which callers are still
   * sent to it, its jobs wait, and its slots at servers count as taken although its connections to them are closed.
   */
  private async checkProcessEnded (name: string): Promise<void> {
    const { incarnation, status, data } = this.state.members.get(name) ?? {}
    if (incarnation === undefined || status === 'dead' || data === undefined) return
    if (await isAddressGone({ host: String(data.host), port: Number(data.peerPort) })) this.step({ type: 'ended', name, incarnation })
  }

  /**
   * Notifies listeners when the eligible owners have changed with time alone: a member known only from a list ceases to be
   * eligible without a change of its record.
   */
  private checkOwnerChange (): void {
    const owners = this.owners().join()
    const changed = owners !== this.lastOwners
    this.lastOwners = owners
    if (changed) for (const listener of this.listeners) listener()
  }

  private listUnacknowledged (): readonly string[] {
    return [...this.unacknowledged].filter(name => this.state.members.get(name)?.status === 'alive')
  }

  private get record (): MemberRecord {
    return this.state.members.get(this.settings.instance)!
  }

  private readSelf (): MemberRecord['data'] {
    const { address, listen, failureDomain, region, cores } = this.settings
    return { host: address ?? listen.host, port: this.port, peerPort: this.links.port, ready: Number(this.ready), run: this.run, failureDomain, region, ...cores !== undefined && { cores } }
  }

  private applyInstanceList (): void {
    const entries = this.list.all.filter(({ pool, state, peerPort }) => pool === ENTRY_POOL && state === 'live' && peerPort !== undefined)
    const members = entries.map(({ name, host, port, peerPort, failureDomain, region, cores }) => ({ name, data: { host, port, peerPort: peerPort!, ready: 1, failureDomain, region, ...cores !== undefined && { cores } } }))
    this.step({ type: 'listed', members })
  }

  private step (event: MembershipEvent): void {
    const before = this.state
    const { state, effects } = stepMembership(before, event, { now: this.clock.now(), random: this.random })
    this.state = state
    if (state.members !== before.members) this.onChange(before)
    for (const { to, message } of effects) this.links.send(to, { type: 'membership', m: message })
    if (state.members !== before.members || state.settled !== before.settled) for (const listener of this.listeners) listener()
  }

  /** Updates the peer addresses, and records each change of status on the timeline. */
  private onChange (before: MembershipState): void {
    for (const record of this.state.members.values()) {
      const known = before.members.get(record.name)
      if (known === record || record.name === this.settings.instance) continue
      if (record.status === 'dead') this.addresses.remove(record.name)
      else if (record.incarnation > 0) this.addresses.update(record.name, { host: String(record.data.host), port: Number(record.data.peerPort) })
      if (known?.status !== record.status) this.timeline.record({ part: 'peers', what: record.status, detail: record.name })
    }
  }
}

function readMember (record: MemberRecord): Member {
  const state = record.leaving ? 'leaving' : record.status === 'suspect' ? 'suspect' : 'alive'
  return { instance: readInstance(record), state, ready: record.data.ready === 1, run: Number(record.data.run ?? 0) }
}

partRegistry.register({ name: 'members', part: Members, needs: ['instance list', 'peer links', 'pause watch'] })
