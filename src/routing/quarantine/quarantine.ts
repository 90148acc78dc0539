import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import type { LogSink } from '../../observe/log-sink.js'
import { Timeline } from '../../observe/timeline/timeline.js'
import { listOthers } from '../../peers/list-others.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { decodeSuspect } from './decode-suspect.js'
import { encodeSuspect } from './encode-suspect.js'
import { isSameLoss } from './is-same-loss.js'
import { listRecentLosses } from './list-recent-losses.js'
import { LossReports } from './loss-reports.js'
import type { QuarantineEvent } from './quarantine-event.js'
import type { QuarantineState } from './quarantine-state.js'
import type { ServerLoss } from './server-loss.js'
import { stepQuarantine } from './step-quarantine.js'

/** Losses after which a fingerprint is quarantined. */
const QUARANTINE_LOSSES = 2
/** How long the losses of a fingerprint are kept, ms. */
const SUSPECT_TTL = 600_000
/** Longest wait for the other daemons' reports of what they had in flight at a lost server, ms. */
const REPORT_TIMEOUT = 1_000
/** Delays after which an accusation is resent, ms. The second is longer than an unresponsive link takes to be replaced, 2.5 s. */
const RESEND_DELAYS = [1_000, 3_000]
/** Time between two messages with records of suspects, each to one daemon, ms. */
const RECORDS_PERIOD = 1_000
/** Maximum number of records in one message; the next ones hold the rest. */
const MAX_RECORDS = 5

interface InFlight { readonly exchange: number, readonly fingerprint: string, readonly server: string }

/**
 * Rejects requests that crash backend servers. A prompt may crash each engine that runs it, and its caller retries it, so
 * that one engine after another is lost with all requests in flight there. Every request in flight at a lost server
 * becomes suspect. A suspect runs only where no other suspect does, so that a second loss is certainly its own: it is then
 * quarantined at every daemon.
 *
 * A sender calls `check` before it sends, `begin` when the first byte may be sent, and `onServerLost` once it has confirmed
 * that the server's process exited.
 */
@scoped(Lifecycle.ContainerScoped)
export class Quarantine implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'suspect', handle: (message, from) => this.receiveAccusation(message, from) }),
    peerHandlerPoint.of({ type: 'suspect-known', handle: ({ server }, from) => { this.lossReports.receive(String(server), from) } }),
    peerHandlerPoint.of({ type: 'suspect-passed', handle: ({ fingerprint }) => { this.apply({ type: 'passed', fingerprint: String(fingerprint) }) } }),
    peerHandlerPoint.of({ type: 'suspect-released', handle: ({ fingerprint }) => { this.apply({ type: 'released', fingerprint: String(fingerprint) }) } }),
    peerHandlerPoint.of({ type: 'suspect-records', handle: message => this.receiveRecords(message) })
  ]

  private state: QuarantineState = { inFlight: new Map(), suspects: new Map(), lost: new Map() }
  private nextExchange = 0
  /** By exchange in flight: returns whether any byte of it may have been sent. */
  private readonly sentChecks = new Map<number, () => boolean>()
  private readonly lossReports = new LossReports()
  private readonly listeners = new Set<(fingerprints: readonly string[]) => void>()
  private readonly lossListeners = new Set<(server: string, ago: number) => void>()
  /** Number of messages with records sent so far. */
  private turn = 0
  private cancel = (): void => {}

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.log) private readonly log: LogSink
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(RECORDS_PERIOD, () => this.sendRecords())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Returns the state of a fingerprint. A `suspect` may be sent only in a trial, a `quarantined` request not at all. */
  check (fingerprint: string): 'clear' | 'suspect' | 'quarantined' {
    const suspect = this.state.suspects.get(fingerprint)
    if (suspect === undefined || suspect.until <= this.clock.now() || suspect.losses.length === 0) return 'clear'
    return suspect.losses.length >= QUARANTINE_LOSSES ? 'quarantined' : 'suspect'
  }

  /**
   * Records that the request is in flight at the server. `isSent` returns whether any byte of it may have been sent. The
   * returned function ends the record and may be called more than once.
   */
  begin (fingerprint: string, server: string, isSent: () => boolean = () => true): () => void {
    const exchange = this.nextExchange++
    this.sentChecks.set(exchange, isSent)
    this.apply({ type: 'began', exchange, fingerprint, server })
    return () => {
      this.sentChecks.delete(exchange)
      this.apply({ type: 'ended', exchange })
    }
  }

  /** Lists the servers whose losses are held against a fingerprint. */
  listLostServers (fingerprint: string): readonly string[] {
    return this.state.suspects.get(fingerprint)?.losses.map(({ server }) => server) ?? []
  }

  /** Lists exchanges in flight from this daemon whose request is suspect, or has been quarantined since it was sent. */
  listSuspectExchanges (): readonly InFlight[] {
    return [...this.state.inFlight].flatMap(([exchange, { fingerprint, server }]) => this.check(fingerprint) !== 'clear' ? [{ exchange, fingerprint, server }] : [])
  }

  /** Lists the losses and suspects that are too recent for all daemons to know of them. */
  listRecentLosses (): ReturnType<typeof listRecentLosses> {
    return listRecentLosses(this.state, this.clock.now())
  }

  /** Sends a daemon the recent accusations, except those for which `isKnown` returns true. */
  resendAccusations (daemon: string, isKnown: (fingerprint: string) => boolean = () => false): void {
    if (daemon === this.settings.instance) return
    for (const { fingerprint, server, ago } of this.listRecentLosses().suspects) {
      if (!isKnown(fingerprint)) this.links.send(daemon, { type: 'suspect', server, ago, fingerprints: [fingerprint] })
    }
  }

  /** Records a loss reported by another daemon, and publishes what this daemon had in flight at the server. */
  accuse (fingerprints: readonly string[], server: string, ago: number): void {
    this.onServerLost(server, ago)
    this.apply({ type: 'accused', fingerprints, server, ago })
  }

  /** Calls `listener` when requests have become suspect, here or at another daemon. */
  subscribe (listener: (fingerprints: readonly string[]) => void): void {
    this.listeners.add(listener)
  }

  /** Calls `listener` when this daemon or another one has found that a server's process exited `ago` ms ago. */
  subscribeLosses (listener: (server: string, ago: number) => void): void {
    this.lossListeners.add(listener)
  }

  /** Returns a server where the same request is in flight from this daemon, so that its copies stay on one server. */
  findServer (fingerprint: string): string | undefined {
    for (const exchange of this.state.inFlight.values()) if (exchange.fingerprint === fingerprint) return exchange.server
    return undefined
  }

  /** Makes all that was in flight at a server suspect after its process exited, and notifies the other daemons. */
  onServerLost (server: string, ago = 0): void {
    const accused = this.recordLoss(server, ago)
    if (accused.length > 0) this.publish({ type: 'suspect', server, ago, fingerprints: accused })
    this.scheduleResends(server, accused, ago)
  }

  /**
   * Resolves once every daemon has reported what it had in flight at a server that this one found gone, or after a timeout.
   * A copy of a crashing request finds its server refusing connections just after another copy has crashed it, and isn't
   * suspect here yet. Sent on at once, it would crash further servers faster than the accusation spreads.
   */
  async waitForLossReports (server: string): Promise<void> {
    const others = listOthers(this.members.all(), this.settings.instance)
    if (this.lossReports.begin(server, others)) {
      const accused = this.recordLoss(server)
      this.publish({ type: 'suspect', server, fingerprints: accused, answer: true })
      this.scheduleResends(server, accused)
    }
    const cancel = this.clock.after(REPORT_TIMEOUT, () => this.lossReports.finish(server))
    await new Promise<void>(resolve => this.lossReports.wait(server, resolve))
    cancel()
  }

  /** Handles an answer of a server: after its next loss, the other daemons are asked again. */
  onServerAnswered (server: string): void {
    this.lossReports.forget(server)
  }

  /** Records a complete answer to a suspect request, at all daemons. Enough of them clear it. */
  pass (fingerprint: string): void {
    if (this.check(fingerprint) === 'clear') return
    this.apply({ type: 'passed', fingerprint })
    this.publish({ type: 'suspect-passed', fingerprint })
  }

  /** Clears a fingerprint at every daemon. Returns false if it is neither suspect nor quarantined here. */
  release (fingerprint: string): boolean {
    if (this.check(fingerprint) === 'clear') return false
    this.apply({ type: 'released', fingerprint })
    this.publish({ type: 'suspect-released', fingerprint })
    return true
  }

  /** Lists the suspect and quarantined fingerprints, each with the lost servers. */
  list (): readonly { readonly fingerprint: string, readonly state: 'suspect' | 'quarantined', readonly servers: readonly string[] }[] {
    return [...this.state.suspects].flatMap(([fingerprint, { losses }]) => {
      const state = this.check(fingerprint)
      return state === 'clear' ? [] : [{ fingerprint, state, servers: losses.map(({ server }) => server) }]
    })
  }

  /** Applies an accusation. Sends what this daemon had in flight before `suspect-known`, over the same link. */
  private receiveAccusation ({ fingerprints, server, ago = 0, answer }: PeerMessage, from: string): void {
    if (!Array.isArray(fingerprints)) return
    this.accuse(fingerprints.map(String), String(server), Number(ago))
    if (answer === true) this.links.send(from, { type: 'suspect-known', server })
  }

  /**
   * Sends what this daemon knows about some suspects to one other daemon. Passes and releases are published once, and a daemon that
   * missed one, or has started since, would otherwise reject a cleared request or send a suspect.
   */
  private sendRecords (): void {
    const now = this.clock.now()
    const suspects = [...this.state.suspects].filter(([, { until }]) => until > now)
    const others = listOthers(this.members.all(), this.settings.instance)
    if (suspects.length === 0 || others.length === 0) return
    const turn = this.turn++
    const [receiver] = rankOwners(`${this.settings.instance} ${turn}`, others)
    const first = turn * MAX_RECORDS % suspects.length
    const records = [...suspects.slice(first), ...suspects.slice(0, first)].slice(0, MAX_RECORDS).map(([fingerprint, suspect]) => encodeSuspect(fingerprint, suspect, now))
    this.links.send(receiver!, { type: 'suspect-records', records }, 'suspect-records')
  }

  private receiveRecords ({ records }: PeerMessage): void {
    if (!Array.isArray(records)) return
    const now = this.clock.now()
    for (const record of records) {
      const received = decodeSuspect(record, { now, keep: SUSPECT_TTL })
      if (received === undefined) continue
      const { fingerprint, losses } = received
      this.apply({ type: 'merged', fingerprint, received })
      for (const loss of losses) if (!this.isKnownLoss(fingerprint, loss)) this.accuse([fingerprint], loss.server, now - loss.at)
    }
  }

  private isKnownLoss (fingerprint: string, loss: ServerLoss): boolean {
    const { losses = [], clearedLosses = [], releasedLosses = [] } = this.state.suspects.get(fingerprint) ?? {}
    return [...losses, ...clearedLosses, ...releasedLosses].some(other => isSameLoss(other, loss))
  }

  /** Resends accusations that still hold. A daemon that missed the first one might let the request crash another server. */
  private scheduleResends (server: string, accused: readonly string[], ago = 0): void {
    if (accused.length === 0) return
    for (const time of RESEND_DELAYS) {
      this.clock.after(time, () => {
        const fingerprints = accused.filter(fingerprint => this.check(fingerprint) !== 'clear')
        if (fingerprints.length > 0) this.publish({ type: 'suspect', server, ago: ago + time, fingerprints })
      })
    }
  }

  private recordLoss (server: string, ago = 0): readonly string[] {
    for (const listener of this.lossListeners) listener(server, ago)
    const unsent = new Set([...this.sentChecks].flatMap(([exchange, isSent]) => isSent() ? [] : [exchange]))
    const accused = this.apply({ type: 'lost', server, ago, unsent })
    if (accused.length > 0) {
      this.log.write('warn', 'quarantine', 'a server was lost with requests in flight', { server, suspects: accused.length })
      this.timeline.record({ part: 'routing', what: 'server lost', server, detail: `${accused.length} suspects` })
    }
    return accused
  }

  private apply (event: QuarantineEvent): readonly string[] {
    const { state, accused } = stepQuarantine(this.state, event, { now: this.clock.now(), keep: SUSPECT_TTL })
    this.state = state
    if (accused.length > 0) for (const listener of this.listeners) listener(accused)
    return accused
  }

  private publish (message: PeerMessage): void {
    for (const name of listOthers(this.members.all(), this.settings.instance)) this.links.send(name, message)
  }
}

partRegistry.register({ name: 'quarantine', part: Quarantine, needs: ['peer links', 'members'] })
