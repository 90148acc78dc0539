import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { pauseFor } from '../../kernel/pause-for.js'
import type { Random } from '../../kernel/random.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import type { LogSink } from '../../observe/log-sink.js'
import { Metrics } from '../../observe/metrics.js'
import { FleetBroadcast } from '../../peers/fleet-broadcast.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { ObjectStore } from '../../store/object-store.js'
import { BlameLedger } from './blame-ledger.js'
import { chooseReceivers } from './choose-receivers.js'
import { createPartRun } from './create-part-run.js'
import { createTrialHandlers } from './create-trial-handlers.js'
import { decodePasses } from './decode-passes.js'
import { decodeRefusedPart } from './decode-refused-part.js'
import { decodeServerLoss } from './decode-server-loss.js'
import { encodeRefusedPart } from './encode-refused-part.js'
import { encodeRelease } from './encode-release.js'
import { encodeServerLoss } from './encode-server-loss.js'
import { judgeRefusedPart } from './judge-refused-part.js'
import type { PartDecision } from './part-decision.js'
import type { PartRun } from './part-run.js'
import { PartTrials } from './part-trials.js'
import { PassReporter } from './pass-reporter.js'
import type { RefusedPart } from './refused-part.js'
import { RefusedPartsStore } from './refused-parts-store.js'
import type { RunInFlight } from './run-in-flight.js'
import { RunsInFlight } from './runs-in-flight.js'
import { ServerExits } from './server-exits.js'
import type { ServerPartLoss } from './server-part-loss.js'

/** Delays after which the report of a loss is sent again, ms. */
const RESEND_DELAYS = [500, 2_000]
/** Time from the report of a loss until parts are judged by it, ms: others tell their passes meanwhile, and suspect parts run one at a time. */
const JUDGE_DELAY = 100
/** After what time a request is to come back for which a trial of its part is awaited, ms. */
const TRIAL_TIME = 1_000
/** Interval at which refused and suspect parts are sent to others, ms. */
const RECORDS_PERIOD = 1_000
/** Interval at which one daemon checks whether an operator has released a part, ms, and after a failed call. */
const STORE_PERIOD = 5_000
const STORE_RETRY = 500

/**
 * Refuses requests whose prompts have a part that crashes each server which begins to answer them. No two such requests need be alike, and
 * sound ones share everything else with them; so the losses of servers are held against the parts in flight there, and runs that pass
 * speak for theirs, both from all daemons (`judgePart`). Each daemon tells the others of a loss with what it had in flight, and those that
 * know of passes answer. What is refused is stored, for daemons that start.
 */
@scoped(Lifecycle.ContainerScoped)
export class PartBlame implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'part losses', handle: message => this.receiveLoss(message) }),
    peerHandlerPoint.of({ type: 'part passes', handle: (message, from) => this.receivePasses(message, from) }),
    peerHandlerPoint.of({ type: 'part refused', handle: ({ refused }, from) => this.receiveRefused(refused, from) }),
    peerHandlerPoint.of({ type: 'part released', handle: message => this.receiveRelease(message) }),
    peerHandlerPoint.of({ type: 'part trial passed', handle: (message, from) => this.receiveTrialPass(message, from) }),
    ...createTrialHandlers(() => this.trials)
  ]

  private readonly ledger = new BlameLedger()
  private readonly trials: PartTrials
  private readonly passes: PassReporter
  private readonly stored: RefusedPartsStore
  private readonly runs = new RunsInFlight(this.ledger.times)
  private readonly exits = new ServerExits()
  /** Parts that were stored, or found in the store. */
  private readonly confirmed = new Set<string>()
  private cancels: ReadonlyArray<() => void> = []
  private stopped = false

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(FleetBroadcast) private readonly broadcast: Pick<FleetBroadcast, 'broadcast'>,
    @inject(tokens.store) store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    this.passes = new PassReporter({ ledger: this.ledger, broadcast, clock, random, instance: settings.instance })
    this.trials = new PartTrials({ clock, settings, members, links, findLimit: part => this.ledger.findTrialLimit(part, clock.now()) })
    this.stored = new RefusedPartsStore(store)
    metrics.gauge('parts_refused', () => this.ledger.listRefused(clock.now()).length)
  }

  async start (): Promise<void> {
    void this.loadStored()
    this.cancels = [this.clock.every(RECORDS_PERIOD, () => this.sendRecords()), this.clock.every(STORE_PERIOD, () => { void this.checkStored() })]
  }

  async stop (): Promise<void> {
    this.stopped = true
    for (const cancel of this.cancels) cancel()
  }

  /** Decides whether a request with these parts may run now; one with a suspect part, and an item with a refused one, once `begin` would be its trial. */
  check (parts: readonly string[], { isItem = false }: { readonly isItem?: boolean } = {}): PartDecision {
    const now = this.clock.now()
    const { verdict, part, isPending = false, isLikely = false } = this.ledger.judge(parts, now, { mayTry: isItem })
    if (part === undefined || verdict === 'clear') return { type: 'clear' }
    if (verdict === 'refused') {
      const { until } = this.ledger.listRefused(now).find(other => other.part === part)!
      return judgeRefusedPart({ part, isItem, until, now, trials: this.ledger.findTrials(part), mayBegin: () => this.trials.mayBegin(part), begunUntil: this.trials.findBegunUntil(part) })
    }
    if (!isPending && this.trials.mayBegin(part)) return { type: 'clear', trial: part, limit: this.ledger.findTrialLimit(part, now) }
    if (isLikely && !isItem && (isPending || this.trials.isBusy(part))) return { type: 'refused', part, left: TRIAL_TIME }
    return { type: 'wait', part, lostAt: this.ledger.listLosses(part).at(-1)?.at, begunUntil: this.trials.findBegunUntil(part) }
  }

  /** Tells the other daemons of an item's trial that begins here, if it is the only one of a refused part or has no grant. */
  tellTrial (part: string): void {
    const limit = this.ledger.findTrialLimit(part, this.clock.now())
    if (limit === undefined ? this.trials.mayBegin(part) : limit > 1) return
    this.broadcast.broadcast({ type: 'part trial begun', part }, `part trial begun ${part}`)
  }

  /** Records that a request is in flight at a server; `isSent` returns whether any byte of it may have been sent. Begins its trial where it needs one. */
  begin (parts: readonly string[], server: string, isSent: () => boolean): PartRun {
    const { part: suspect, verdict, isPending = false } = this.ledger.judge(parts, this.clock.now(), { mayTry: true })
    const needsTrial = verdict === 'refused' || (verdict === 'suspect' && !isPending)
    const tried = needsTrial && this.trials.take(suspect!) ? suspect : undefined
    const now = this.clock.now()
    const run = this.runs.add({ parts, server, began: now, isSent })
    const endTrial = (): void => { if (tried !== undefined) this.trials.end(tried) }
    return createPartRun({ clock: this.clock, remove: () => this.runs.remove(run, this.clock.now()), pass: () => this.pass(run), endTrial, isShortTrial: tried !== undefined && this.ledger.findTrialLimit(tried, now) !== undefined })
  }

  /** Holds a server's loss against the parts that were in flight there, and tells the other daemons. */
  onServerLost (server: string, at = this.clock.now()): void {
    if (!this.exits.record(server, at)) return
    const runs = this.runs.listLost(server, at)
    if (runs.length === 0) return
    const report = { server, at, daemon: this.settings.instance, id: Math.round(this.clock.date()), runs }
    this.addLoss(report)
    this.log.write('warn', 'blame', 'a server was lost with prompt parts in flight', { server, runs: runs.length, parts: [...new Set(runs.flatMap(({ parts }) => parts))] })
    const send = (): void => this.broadcast.broadcast(encodeServerLoss(report, this.clock.now()), `part losses ${server}`)
    send()
    for (const delay of RESEND_DELAYS) this.clock.after(delay, send)
  }

  /** Lists the parts that are refused now. */
  listRefused (): readonly RefusedPart[] {
    return this.ledger.listRefused(this.clock.now())
  }

  /** Whether the losses of these servers are due to refused parts that the request doesn't have. */
  explainsLosses (servers: readonly string[], parts: readonly string[]): boolean {
    return this.ledger.explainsLosses(servers, parts, this.clock.now())
  }

  private pass (run: RunInFlight): void {
    if (run.hasPassed) return
    run.hasPassed = true
    const tried = this.ledger.listTried(run.parts, run.began, this.clock.now())
    this.clear(this.ledger.addPass(run.parts, this.clock.now()), true)
    for (const part of tried) {
      this.ledger.addTrialPass(part, this.clock.now())
      this.broadcast.broadcast({ type: 'part trial passed', part, ...this.passes.describe([part]) }, `part trial passed ${part} ${this.ledger.passes.get(part, this.clock.now())}`)
    }
  }

  private receiveLoss (message: Readonly<Record<string, unknown>>): void {
    const loss = decodeServerLoss(message, this.clock.now())
    if (loss === undefined) return this.log.write('warn', 'blame', 'ignores a malformed report of a loss')
    if (this.addLoss(loss)) this.onServerLost(loss.server, loss.at)
  }

  private receivePasses (message: Readonly<Record<string, unknown>>, from: string): void {
    const told = decodePasses(message)
    // In a large fleet broadcasts come from a daemon that relays them.
    if (told !== undefined) return this.clear(this.ledger.addPasses(typeof message.daemon === 'string' ? message.daemon : from, told, this.clock.now()), false)
    this.log.write('warn', 'blame', 'ignores a malformed count of passes', { from })
  }

  private receiveTrialPass (message: Readonly<Record<string, unknown>>, from: string): void {
    this.ledger.addTrialPass(String(message.part), this.clock.now())
    this.receivePasses(message, from)
  }

  /** Returns whether the report is new. */
  private addLoss (loss: ServerPartLoss): boolean {
    this.runs.recordTimes(this.clock.now())
    this.passes.report([...new Set(loss.runs.flatMap(({ parts }) => parts))])
    this.clock.after(JUDGE_DELAY, () => this.review())
    return this.ledger.addLoss(loss, this.clock.now())
  }

  private review (): void {
    for (const refused of this.ledger.review(this.clock.now())) this.refuse(refused)
  }

  private refuse (refused: RefusedPart): void {
    const now = this.clock.now()
    const { part, until, beside, losses } = refused
    this.metrics.count('parts_refused_total')
    this.log.write('warn', 'blame', 'refuses requests with a part that crashes servers', { prompt: part, beside, servers: losses.map(({ server }) => server), passes: this.ledger.countPasses(part, now), left: Math.round(until - now) })
    this.broadcast.broadcast({ type: 'part refused', refused: [encodeRefusedPart(refused, now)] }, `part refused ${part}`)
    void this.store(refused)
  }

  private async store ({ part, until, beside, losses }: RefusedPart): Promise<void> {
    const offset = this.clock.date() - this.clock.now()
    const stored = { part, until: until + offset, beside, losses: losses.map(({ server, at }) => ({ server, at: at + offset })) }
    for (let isStored = false; !isStored && !this.stopped && this.ledger.listRefused(this.clock.now()).some(other => other.part === part);) {
      isStored = (await this.stored.put(stored)).ok
      if (isStored) this.confirmed.add(part)
      else await pauseFor(this.clock, this.random.spread(STORE_RETRY))
    }
  }

  private receiveRelease ({ part, left }: Readonly<Record<string, unknown>>): void {
    const now = this.clock.now()
    if (typeof part === 'string' && this.ledger.release(part, now, typeof left === 'number' ? now + left : undefined)) this.clear([part], false)
  }

  private receiveRefused (refused: unknown, from?: string): void {
    if (!Array.isArray(refused)) return
    const now = this.clock.now()
    for (const value of refused) {
      const decoded = decodeRefusedPart(value, now)
      if (decoded === undefined) continue
      const { part, beside, losses } = decoded
      const released = this.ledger.findRelease(part, decoded.until)
      if (released !== undefined && from !== undefined) this.links.send(from, encodeRelease(part, released - now), `part released ${part}`)
      if (!this.ledger.addRefusal(decoded, now)) continue
      this.log.write('info', 'blame', 'another daemon refuses a part that crashes servers', { prompt: part, beside, servers: losses.map(({ server }) => server) })
      this.passes.forget(part)
      this.passes.report([part])
    }
  }

  /** Handles parts that are no longer refused; `isOwn` tells the other daemons. */
  private clear (parts: readonly string[], isOwn: boolean): void {
    for (const part of parts) {
      this.log.write('info', 'blame', 'a part is no longer refused', { prompt: part, passes: this.ledger.countPasses(part, this.clock.now()) })
      this.trials.forget(part)
      this.confirmed.delete(part)
      if (!isOwn) continue
      this.broadcast.broadcast(encodeRelease(part, this.ledger.findRelease(part, -Infinity)! - this.clock.now()), `part released ${part}`)
      void this.stored.remove(part)
    }
  }

  /** Sends refused and suspect parts to others: one that was cut off, or has just started, may have missed every report. */
  private sendRecords (): void {
    const now = this.clock.now()
    this.review()
    const refused = this.ledger.listRefused(now)
    const suspects = this.ledger.listSuspectLosses(now)
    if (refused.length + suspects.length === 0) return
    for (const name of chooseReceivers(this.members.all(), this.settings.instance, this.random)) {
      if (refused.length > 0) this.links.send(name, { type: 'part refused', refused: refused.map(part => encodeRefusedPart(part, now)) }, 'part refused')
      for (const loss of suspects) this.links.send(name, encodeServerLoss(loss, now), `part losses ${loss.server} ${loss.daemon} ${loss.runs[0]!.parts[0]!}`)
    }
  }

  private async loadStored (): Promise<void> {
    for (;;) {
      const listed = await this.stored.list()
      if (this.stopped) return
      if (listed.ok) {
        const date = this.clock.date()
        for (const { part, until, beside, losses } of listed.val) {
          this.confirmed.add(part)
          this.receiveRefused([{ part, left: until - date, beside, losses: losses.map(({ server, at }) => ({ server, ago: date - at })) }])
        }
        return
      }
      await pauseFor(this.clock, this.random.spread(STORE_RETRY))
    }
  }

  /** Finds out whether an operator has deleted a stored part; the first in rank looks for all. */
  private async checkStored (): Promise<void> {
    const refused = this.ledger.listRefused(this.clock.now())
    if (refused.length === 0 || rankOwners('refused parts', this.members.owners())[0] !== this.settings.instance) return
    const listed = await this.stored.list()
    if (listed.err) return
    const present = new Set(listed.val.map(({ part }) => part))
    for (const { part } of refused) {
      if (present.has(part)) this.confirmed.add(part)
      else if (this.confirmed.has(part) && this.ledger.release(part, this.clock.now())) this.clear([part], true)
    }
  }
}

partRegistry.register({ name: 'part blame', part: PartBlame, needs: ['peer links', 'members', 'fleet cast'] })
