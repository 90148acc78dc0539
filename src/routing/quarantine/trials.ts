import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { Quarantine } from './quarantine.js'
import { readTrialOptions } from './read-trial-options.js'
import { stepTrials } from './step-trials.js'
import type { Trial } from './trial.js'
import type { TrialsEvent } from './trials-event.js'
import type { TrialsState } from './trials-state.js'

/** Interval at which asks and holds are repeated, ms. */
const ASK_PERIOD = 100
/** Interval at which daemons repeat which suspects they know, ms: a frame may be lost, or the coordinator may change. */
const READY_PERIOD = 500

interface WaitOptions { readonly deadline: number, readonly signal?: AbortSignal }

type Outcome = Trial | 'cleared' | 'quarantined' | 'deadline'

/**
 * Runs each suspect alone at its server. One daemon, selected by rendezvous hashing among the possible owners, is the
 * trial coordinator of the fleet. While daemons disagree about the members there may be two, which could grant two
 * trials at one server; but each waits for the daemons that report to the other, and grants none for seconds.
 */
@scoped(Lifecycle.ContainerScoped)
export class Trials implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'trial-ask', handle: ({ id, fingerprint, servers }, from) => { this.receiveAsk({ id: String(id), fingerprint: String(fingerprint), servers: (servers as unknown[]).map(String) }, from) } }),
    peerHandlerPoint.of({ type: 'trial-hold', handle: ({ id, fingerprint, server }) => { this.apply({ type: 'hold', id: String(id), fingerprint: String(fingerprint), server: String(server) }) } }),
    peerHandlerPoint.of({ type: 'trial-ready', handle: ({ fingerprints }, from) => { this.apply({ type: 'ready', daemon: from, fingerprints: (fingerprints as unknown[]).map(String) }) } }),
    peerHandlerPoint.of({ type: 'trial-done', handle: message => this.receiveDone(message) }),
    peerHandlerPoint.of({ type: 'trial', handle: ({ id, server }) => { this.asks.get(String(id))?.(server === undefined ? 'quarantined' : String(server)) } })
  ]

  private state: TrialsState = { running: new Map(), waiting: [], ready: new Map() }
  private cancels: ReadonlyArray<() => void> = []
  private reportedHolds: ReadonlySet<string> = new Set()
  private readonly granted = new Map<string, { readonly fingerprint: string, readonly server: string }>()
  private readonly asks = new Map<string, (answer: string) => void>()
  private askCount = 0

  constructor (
    @inject(Quarantine) private readonly quarantine: Quarantine,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    // Delayed until the exchanges that the lost server cut have ended.
    quarantine.subscribe(fingerprints => {
      clock.after(1, () => {
        this.reportHolds()
        this.reportReady(fingerprints)
      })
    })
  }

  async start (): Promise<void> {
    this.cancels = [this.clock.every(ASK_PERIOD, () => this.reportHolds()), this.clock.every(READY_PERIOD, () => this.resendRecentLosses())]
  }

  async stop (): Promise<void> {
    for (const cancel of this.cancels) cancel()
  }

  /** Resolves with a trial at one of the listed servers, or with the reason why none is needed or possible. */
  async wait (fingerprint: string, listServers: () => readonly string[], { deadline, signal }: WaitOptions): Promise<Outcome> {
    const id = `${this.settings.instance}.${this.clock.date()}.${this.askCount++}`
    return await new Promise<Outcome>(resolve => {
      const cancel = this.clock.every(ASK_PERIOD, () => check())
      const end = (): void => {
        cancel()
        this.granted.delete(id)
        if (this.asks.delete(id)) this.send({ type: 'trial-done', id, ...this.quarantine.listRecentLosses().suspects.find(other => other.fingerprint === fingerprint) })
      }
      const finish = (outcome: Outcome): void => {
        if (typeof outcome === 'string') end()
        resolve(outcome)
      }
      const check = (): void => {
        const status = this.quarantine.check(fingerprint)
        if (status === 'quarantined') finish('quarantined')
        else if (status === 'clear') finish('cleared')
        else if (this.clock.now() >= deadline || signal?.aborted === true) finish('deadline')
        else this.send({ type: 'trial-ask', id, fingerprint, servers: listServers() })
      }
      this.asks.set(id, answer => {
        if (this.granted.has(id)) return
        // From now on reported as a hold, so that a new coordinator knows of it.
        cancel()
        if (answer !== 'quarantined') this.granted.set(id, { fingerprint, server: answer })
        finish(answer === 'quarantined' ? answer : { server: answer, end })
      })
      check()
    })
  }

  /**
   * Reports the suspect exchanges in flight from this daemon, and those that have ended. Copies of a suspect may be in
   * flight from several daemons when the first crashes its server; another suspect must not be tried beside one of them.
   */
  private reportHolds (): void {
    const holds = this.quarantine.listSuspectExchanges().map(hold => ({ ...hold, id: this.nameHold(hold) }))
    const held = new Set(holds.map(({ id }) => id))
    for (const { id, fingerprint, server } of holds) this.send({ type: 'trial-hold', id, fingerprint, server })
    for (const id of this.reportedHolds) if (!held.has(id)) this.send({ type: 'trial-done', id })
    this.reportedHolds = held
  }

  private reportReady (fingerprints: readonly string[]): void {
    if (fingerprints.length > 0) this.send({ type: 'trial-ready', fingerprints })
  }

  private nameHold ({ exchange, fingerprint, server }: { readonly exchange: number, readonly fingerprint: string, readonly server: string }): string {
    const trial = [...this.granted].find(([, other]) => other.fingerprint === fingerprint && other.server === server)
    return trial?.[0] ?? `${this.settings.instance}.hold.${exchange}`
  }

  /**
   * Resends recent accusations to the coordinator, or from the coordinator to the daemons that haven't reported ready. A
   * daemon that missed one would send the next copy of the suspect to a third server.
   */
  private resendRecentLosses (): void {
    const { suspects } = this.quarantine.listRecentLosses()
    this.reportReady(suspects.map(({ fingerprint }) => fingerprint))
    const coordinator = this.findCoordinator()
    if (coordinator !== this.settings.instance) return this.quarantine.resendAccusations(coordinator)
    for (const { instance } of this.members.all()) {
      this.quarantine.resendAccusations(instance.name, fingerprint => this.state.ready.get(fingerprint)?.daemons.has(instance.name) === true)
    }
  }

  private findCoordinator (): string {
    return rankOwners('trials', this.members.owners())[0] ?? this.settings.instance
  }

  private send (message: PeerMessage): void {
    const coordinator = this.findCoordinator()
    if (coordinator !== this.settings.instance) this.links.send(coordinator, message)
    else if (message.type === 'trial-done') this.receiveDone(message)
    else if (message.type === 'trial-ready') this.apply({ type: 'ready', daemon: coordinator, fingerprints: message.fingerprints as readonly string[] })
    else if (message.type === 'trial-hold') this.apply({ type: 'hold', id: String(message.id), fingerprint: String(message.fingerprint), server: String(message.server) })
    else this.receiveAsk(message as unknown as { id: string, fingerprint: string, servers: readonly string[] }, coordinator)
  }

  /** Handles an ask. Its sender's accusations arrive before it over the same link, so that no trial is granted without them. */
  private receiveAsk ({ id, fingerprint, servers }: { readonly id: string, readonly fingerprint: string, readonly servers: readonly string[] }, from: string): void {
    if (this.quarantine.check(fingerprint) === 'quarantined') this.answer(from, id, undefined)
    else this.apply({ type: 'ask', id, fingerprint, servers })
  }

  /** Ends an ask, trial or hold. The end of a trial that crashed its server includes the loss, as the accusation may be lost. */
  private receiveDone ({ id, fingerprint, server, ago }: PeerMessage): void {
    if (server !== undefined) this.quarantine.accuse([String(fingerprint)], String(server), Number(ago))
    this.apply({ type: 'done', id: String(id) })
  }

  private apply (event: TrialsEvent): void {
    const ready = new Map([...this.state.ready].filter(([fingerprint]) => this.quarantine.check(fingerprint) !== 'clear'))
    const { state, grants } = stepTrials({ ...this.state, ready }, event, readTrialOptions(this.members, this.quarantine, this.clock.now()))
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
