import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Timeline } from '../observe/timeline.js'
import { listOthers } from '../peers/list-others.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { listRecentLosses } from './list-recent-losses.js'
import { LossReports } from './loss-reports.js'
import type { QuarantineEvent } from './quarantine-event.js'
import type { QuarantineState } from './quarantine-state.js'
import { stepQuarantine } from './step-quarantine.js'

/** Lost servers at which a fingerprint is kept out. */
const QUARANTINE_LOSSES = 2
/** How long what is held against a fingerprint is kept, ms. */
const SUSPECT_TTL = 600_000
/** Longest wait for the other daemons' word of what they had in flight at a lost server, ms. */
const REPORT_TIMEOUT = 1_000
/** After what times the word of a loss is repeated, ms: a link that has gone silent is replaced within 2.5 s. */
const RESEND_DELAYS = [1_000, 3_000]

interface InFlight { readonly exchange: number, readonly fingerprint: string, readonly server: string }

/**
 * Keeps out requests that crash backend servers. Some prompt ends each engine process that runs it, and its caller
 * sends it again: without this, the symptom is one engine after another lost, and every request in flight there
 * with it. All that was in flight at a lost server is suspect; a suspect runs alone; at the second loss it is
 * quarantined at every daemon. That is enough because the second run had no other suspect beside it.
 *
 * Whoever sends to servers calls `check` before, `begin` as the first byte may go out, and `onServerLost` once it
 * is sure that the server's process ended.
 */
@scoped(Lifecycle.ContainerScoped)
export class Quarantine implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'suspect', handle: (message, from) => this.receiveAccusation(message, from) }),
    peerHandlerPoint.of({ type: 'suspect-known', handle: ({ server }, from) => { this.lossReports.receive(String(server), from) } }),
    peerHandlerPoint.of({ type: 'suspect-passed', handle: ({ fingerprint }) => { this.apply({ type: 'passed', fingerprint: String(fingerprint) }) } }),
    peerHandlerPoint.of({ type: 'suspect-released', handle: ({ fingerprint }) => { this.apply({ type: 'released', fingerprint: String(fingerprint) }) } })
  ]

  private state: QuarantineState = { inFlight: new Map(), suspects: new Map(), lost: new Map() }
  private nextExchange = 0
  /** By exchange in flight: whether a byte of it can have left. */
  private readonly sentChecks = new Map<number, () => boolean>()
  private readonly lossReports = new LossReports()
  private readonly listeners = new Set<(fingerprints: readonly string[]) => void>()

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.log) private readonly log: LogSink
  ) {}

  /** `quarantined` is never sent; `suspect` is sent only with no other suspect in flight at its server. */
  check (fingerprint: string): 'clear' | 'suspect' | 'quarantined' {
    const suspect = this.state.suspects.get(fingerprint)
    if (suspect === undefined || suspect.until <= this.clock.now() || suspect.losses.length === 0) return 'clear'
    return suspect.losses.length >= QUARANTINE_LOSSES ? 'quarantined' : 'suspect'
  }

  /**
   * Notes that the request is in flight at the server, of which `isSent` says whether a byte can have left; the function
   * it gives back ends that and may be called again.
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

  /** Exchanges in flight from this daemon whose request is suspect, or quarantined since it was sent. */
  listSuspectExchanges (): readonly InFlight[] {
    return [...this.state.inFlight].flatMap(([exchange, { fingerprint, server }]) => this.check(fingerprint) !== 'clear' ? [{ exchange, fingerprint, server }] : [])
  }

  /** What is so new that not all daemons may know of it. */
  listRecentLosses (): ReturnType<typeof listRecentLosses> {
    return listRecentLosses(this.state, this.clock.now())
  }

  /** Tells a daemon of what is new, but for what it `knows`. */
  resendAccusations (daemon: string, isKnown: (fingerprint: string) => boolean = () => false): void {
    if (daemon === this.settings.instance) return
    for (const { fingerprint, server, ago } of this.listRecentLosses().suspects) {
      if (!isKnown(fingerprint)) this.links.send(daemon, { type: 'suspect', server, ago, fingerprints: [fingerprint] })
    }
  }

  /** Takes in that another daemon holds the loss against them; what was in flight there from here is told to all. */
  accuse (fingerprints: readonly string[], server: string, ago: number): void {
    this.onServerLost(server, ago)
    this.apply({ type: 'accused', fingerprints, server, ago })
  }

  /** Calls `listener` when requests have become suspect, here or at another daemon. */
  subscribe (listener: (fingerprints: readonly string[]) => void): void {
    this.listeners.add(listener)
  }

  /** A server where the same request is in flight from this daemon, so that its copies don't spread over more. */
  findServer (fingerprint: string): string | undefined {
    for (const exchange of this.state.inFlight.values()) if (exchange.fingerprint === fingerprint) return exchange.server
    return undefined
  }

  /** Holds the end of the server's process against all that was in flight there, and tells the other daemons. */
  onServerLost (server: string, ago = 0): void {
    const accused = this.recordLoss(server, ago)
    if (accused.length > 0) this.publish({ type: 'suspect', server, ago, fingerprints: accused })
    this.scheduleResends(server, accused, ago)
  }

  /**
   * Resolves once every daemon has said what it had in flight at a server that this one found gone, or after a second.
   * A copy of a crashing request that comes to a server another copy has just ended is refused there, and nothing is
   * known against it yet: sent on at once, it ended one server after another, faster than the word of it spreads.
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

  /** A server that answers again: of its next end, the others' word is new. */
  onServerAnswered (server: string): void {
    this.lossReports.forget(server)
  }

  /** Counts a whole answer of a request against which something is held; enough of them clear it. */
  pass (fingerprint: string): void {
    if (this.check(fingerprint) === 'clear') return
    this.apply({ type: 'passed', fingerprint })
    this.publish({ type: 'suspect-passed', fingerprint })
  }

  /** Holds nothing against it any more, at any daemon; says whether anything was held here. */
  release (fingerprint: string): boolean {
    if (this.check(fingerprint) === 'clear') return false
    this.apply({ type: 'released', fingerprint })
    this.publish({ type: 'suspect-released', fingerprint })
    return true
  }

  /** Fingerprints that are suspect or quarantined, for operators. */
  list (): readonly { readonly fingerprint: string, readonly state: 'suspect' | 'quarantined', readonly servers: readonly string[] }[] {
    return [...this.state.suspects].flatMap(([fingerprint, { losses }]) => {
      const state = this.check(fingerprint)
      return state === 'clear' ? [] : [{ fingerprint, state, servers: losses.map(({ server }) => server) }]
    })
  }

  /** What this daemon had in flight there goes out before its answer, over the same link. */
  private receiveAccusation ({ fingerprints, server, ago = 0, answer }: PeerMessage, from: string): void {
    if (!Array.isArray(fingerprints)) return
    this.accuse(fingerprints.map(String), String(server), Number(ago))
    if (answer === true) this.links.send(from, { type: 'suspect-known', server })
  }

  /** Tells again what is still held: the first word may be lost, and each daemon without it gives the request one more server to end. */
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
