import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { Quarantine } from './quarantine.js'
import { stepTrials } from './step-trials.js'
import type { Trial } from './trial.js'
import type { TrialsEvent } from './trials-event.js'
import type { TrialsState } from './trials-state.js'

/** How often asks and holds are repeated, ms. */
const ASK_PERIOD = 100
/**
 * How long a suspect waits for its trial, ms. Servers that end together, as when a rack fails, are noticed one after the
 * other: a request cut by the first was tried at the second while that one was ending, and a request that had done
 * nothing was quarantined, its caller refused for ten minutes. By then those that end within this time are known.
 */
const TRIAL_PAUSE = 150

interface WaitOptions { readonly deadline: number, readonly signal?: AbortSignal }

type Outcome = Trial | 'cleared' | 'quarantined' | 'deadline'

/**
 * Runs suspects apart. One daemon, by rendezvous over those that may own things, gives the trials of the whole fleet
 * out. Were it two for a moment, because daemons disagree about the members, two suspects could meet at one server:
 * a request that did nothing could then be quarantined for a while, but none would run that shouldn't.
 */
@scoped(Lifecycle.ContainerScoped)
export class Trials implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'trial-ask', handle: ({ id, fingerprint, servers }, from) => { this.hearAsk({ id: String(id), fingerprint: String(fingerprint), servers: (servers as unknown[]).map(String) }, from) } }),
    peerHandlerPoint.of({ type: 'trial-hold', handle: ({ id, fingerprint, server }) => { this.apply({ type: 'hold', id: String(id), fingerprint: String(fingerprint), server: String(server) }) } }),
    peerHandlerPoint.of({ type: 'trial-ready', handle: ({ fingerprints }, from) => { this.apply({ type: 'ready', daemon: from, fingerprints: (fingerprints as unknown[]).map(String) }) } }),
    peerHandlerPoint.of({ type: 'trial-done', handle: ({ id }) => { this.apply({ type: 'done', id: String(id) }) } }),
    peerHandlerPoint.of({ type: 'trial', handle: ({ id, server }) => { this.asks.get(String(id))?.(server === undefined ? 'quarantined' : String(server)) } })
  ]

  private state: TrialsState = { running: new Map(), waiting: [], ready: new Map() }
  private cancel = (): void => {}
  private held: ReadonlySet<number> = new Set()
  private readonly granted = new Map<string, { readonly fingerprint: string, readonly server: string }>()
  private readonly asks = new Map<string, (answer: string) => void>()
  private count = 0

  constructor (
    @inject(Quarantine) private readonly quarantine: Quarantine,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    // A moment later, when the exchanges that the lost server cut have ended.
    quarantine.subscribe(fingerprints => {
      clock.after(1, () => {
        this.tellHolds()
        this.send({ type: 'trial-ready', fingerprints })
      })
    })
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(ASK_PERIOD, () => this.tellHolds())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Resolves with leave to run at one of `servers`, or with why there is no need or no use for it. */
  async wait (fingerprint: string, servers: readonly string[], { deadline, signal }: WaitOptions): Promise<Outcome> {
    const id = `${this.settings.instance}.${this.clock.date()}.${this.count++}`
    const ask = { id, fingerprint, servers }
    return await new Promise<Outcome>(resolve => {
      const cancel = this.clock.every(ASK_PERIOD, () => check())
      const end = (): void => {
        cancel()
        this.granted.delete(id)
        if (this.asks.delete(id)) this.send({ type: 'trial-done', id })
      }
      const finish = (outcome: Outcome): void => {
        if (typeof outcome === 'string') end()
        resolve(outcome)
      }
      const check = (): void => {
        const standing = this.quarantine.check(fingerprint)
        if (standing === 'quarantined') finish('quarantined')
        else if (standing === 'clear') finish('cleared')
        else if (this.clock.now() >= deadline || signal?.aborted === true) finish('deadline')
        else this.send({ type: 'trial-ask', ...ask })
      }
      this.asks.set(id, answer => {
        if (answer !== 'quarantined') this.granted.set(id, { fingerprint, server: answer })
        finish(answer === 'quarantined' ? answer : { server: answer, end })
      })
      check()
    })
  }

  /**
   * Copies of a suspect may be in flight through several daemons when the first of them ends its server. Were they
   * not known, another suspect could be tried beside one, and be blamed for what the copy does.
   */
  private tellHolds (): void {
    const holds = this.quarantine.listSuspectExchanges().filter(hold => !this.isGranted(hold))
    const held = new Set(holds.map(({ exchange }) => exchange))
    for (const { exchange, fingerprint, server } of holds) this.send({ type: 'trial-hold', id: this.nameHold(exchange), fingerprint, server })
    for (const exchange of this.held) if (!held.has(exchange)) this.send({ type: 'trial-done', id: this.nameHold(exchange) })
    this.held = held
  }

  private isGranted ({ fingerprint, server }: { readonly fingerprint: string, readonly server: string }): boolean {
    return [...this.granted.values()].some(trial => trial.fingerprint === fingerprint && trial.server === server)
  }

  private nameHold (exchange: number): string {
    return `${this.settings.instance}.hold.${exchange}`
  }

  private send (message: PeerMessage): void {
    const lead = rankOwners('trials', this.members.owners())[0] ?? this.settings.instance
    if (lead !== this.settings.instance) this.links.send(lead, message)
    else if (message.type === 'trial-done') this.apply({ type: 'done', id: String(message.id) })
    else if (message.type === 'trial-ready') this.apply({ type: 'ready', daemon: lead, fingerprints: message.fingerprints as readonly string[] })
    else if (message.type === 'trial-hold') this.apply({ type: 'hold', id: String(message.id), fingerprint: String(message.fingerprint), server: String(message.server) })
    else this.hearAsk(message as unknown as { id: string, fingerprint: string, servers: readonly string[] }, lead)
  }

  /** An asker's accusations come over the same link before its next message, so that none is granted past them. */
  private hearAsk ({ id, fingerprint, servers }: { readonly id: string, readonly fingerprint: string, readonly servers: readonly string[] }, from: string): void {
    if (this.quarantine.check(fingerprint) === 'quarantined') this.answer(from, id, undefined)
    else this.apply({ type: 'ask', id, fingerprint, servers })
  }

  private apply (event: TrialsEvent): void {
    const { state, grants } = stepTrials(this.state, event, { now: this.clock.now(), daemons: this.members.all().map(({ instance }) => instance.name), pause: TRIAL_PAUSE })
    const fingerprints = new Map([...state.running].map(([id, { fingerprint }]) => [id, fingerprint]))
    this.state = state
    for (const { id, server } of grants) {
      const quarantined = this.quarantine.check(fingerprints.get(id)!) === 'quarantined'
      if (quarantined) this.apply({ type: 'done', id })
      this.answer(readAsker(id), id, quarantined ? undefined : server)
    }
  }

  private answer (to: string, id: string, server: string | undefined): void {
    if (to === this.settings.instance) this.asks.get(id)?.(server ?? 'quarantined')
    else this.links.send(to, { type: 'trial', id, ...(server === undefined ? {} : { server }) })
  }
}

function readAsker (id: string): string {
  return id.split('.').slice(0, -2).join('.')
}

partRegistry.register({ name: 'trials', part: Trials, needs: ['quarantine'] })
