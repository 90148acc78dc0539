import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Timeline } from '../observe/timeline.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { QuarantineEvent } from './quarantine-event.js'
import type { QuarantineState } from './quarantine-state.js'
import { stepQuarantine } from './step-quarantine.js'

/** Lost servers at which a fingerprint is kept out. */
const LOSSES = 2
/** How long what is held against a fingerprint is kept, ms. */
const KEEP = 600_000

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
    peerHandlerPoint.of({ type: 'suspect', handle: message => this.hear(message) }),
    peerHandlerPoint.of({ type: 'suspect-cleared', handle: ({ fingerprint }) => { this.apply({ type: 'cleared', fingerprint: String(fingerprint) }) } })
  ]

  private state: QuarantineState = { inFlight: new Map(), suspects: new Map() }
  private exchanges = 0
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
    if (suspect === undefined || suspect.until <= this.clock.now()) return 'clear'
    return suspect.losses.length >= LOSSES ? 'quarantined' : 'suspect'
  }

  /** Notes that the request is in flight at the server; the function it gives back ends that and may be called again. */
  begin (fingerprint: string, server: string): () => void {
    const exchange = this.exchanges++
    this.apply({ type: 'began', exchange, fingerprint, server })
    return () => { this.apply({ type: 'ended', exchange }) }
  }

  /** Exchanges in flight from this daemon whose request is suspect. */
  listSuspectExchanges (): readonly { readonly exchange: number, readonly fingerprint: string, readonly server: string }[] {
    return [...this.state.inFlight].flatMap(([exchange, { fingerprint, server }]) => this.check(fingerprint) === 'suspect' ? [{ exchange, fingerprint, server }] : [])
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
  onServerLost (server: string): void {
    const accused = this.apply({ type: 'lost', server })
    if (accused.length === 0) return
    this.log.write('warn', 'quarantine', 'a server was lost with requests in flight', { server, suspects: accused.length })
    this.timeline.record({ part: 'routing', what: 'server lost', server, detail: `${accused.length} suspects` })
    this.tell({ type: 'suspect', server, fingerprints: accused })
  }

  /** A suspect that was answered whole is one no more. */
  clear (fingerprint: string): void {
    if (this.check(fingerprint) === 'suspect') this.release(fingerprint)
  }

  /** Holds nothing against it any more, at any daemon; says whether anything was held here. */
  release (fingerprint: string): boolean {
    if (this.check(fingerprint) === 'clear') return false
    this.apply({ type: 'cleared', fingerprint })
    this.tell({ type: 'suspect-cleared', fingerprint })
    return true
  }

  /** Fingerprints that are suspect or quarantined, for operators. */
  list (): readonly { readonly fingerprint: string, readonly state: 'suspect' | 'quarantined', readonly servers: readonly string[] }[] {
    return [...this.state.suspects].flatMap(([fingerprint, { losses }]) => {
      const state = this.check(fingerprint)
      return state === 'clear' ? [] : [{ fingerprint, state, servers: losses.map(({ server }) => server) }]
    })
  }

  private hear ({ fingerprints, server }: PeerMessage): void {
    if (Array.isArray(fingerprints)) this.apply({ type: 'accused', fingerprints: fingerprints.map(String), server: String(server) })
  }

  private apply (event: QuarantineEvent): readonly string[] {
    const { state, accused } = stepQuarantine(this.state, event, { now: this.clock.now(), keep: KEEP })
    this.state = state
    if (accused.length > 0) for (const listener of this.listeners) listener(accused)
    return accused
  }

  private tell (message: PeerMessage): void {
    for (const { instance } of this.members.all()) {
      if (instance.name !== this.settings.instance) this.links.send(instance.name, message)
    }
  }
}

partRegistry.register({ name: 'quarantine', part: Quarantine, needs: ['peer links', 'members'] })
