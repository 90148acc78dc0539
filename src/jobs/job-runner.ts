import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Route } from '../config/route.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Random } from '../kernel/random.js'
import { failUnreachable } from '../kernel/unreachable.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { ServerLoads } from '../placement/server-loads.js'
import { orderBatch } from '../placement/order-batch.js'
import { SlotClient } from '../placement/slot-client.js'
import { listParts } from '../routing/blame/list-parts.js'
import { PartBlame } from '../routing/blame/part-blame.js'
import { Sender } from '../routing/exchanges/sender.js'
import type { ServerDialect } from '../routing/exchanges/server-dialect.js'
import { Servers } from '../routing/servers/servers.js'
import { chooseItem } from './choose-item.js'
import { findAbandonReason } from './find-abandon-reason.js'
import type { ItemOutcome } from './item-outcome.js'
import { ItemDurationEstimator } from './item-duration-estimator.js'
import { ItemRun } from './item-run.js'
import type { ItemState } from './item-state.js'
import { ItemTrials } from './item-trials.js'
import { ItemVersions } from './item-versions.js'
import { findWaitingReason } from './find-waiting-reason.js'
import type { OwnedJob } from './owned-job.js'
import { RouteFinder } from './route-finder.js'
import { splitByPool } from './split-by-pool.js'
import { WaitingLog } from './waiting-log.js'
import type { WaitingReason } from './waiting-reason.js'
import { waitingReasonTypes } from './waiting-reason-types.js'

/** Time between two slot requests while items wait, ms: a few steps of an engine. */
const SLOT_REQUEST_PERIOD = 50
/** Time between two checks for items to abandon while none waits, ms. */
const IDLE_PERIOD = 500
/** Backoff of an item after an unsuccessful run, ms; it doubles with each consecutive one. */
const [FIRST_PAUSE, LONGEST_PAUSE] = [50, 1_000]
/** How long another trial of the same part waits for an item that tries it, ms: by then its answer has begun, and it has passed or was lost. */
const TRIAL_TIME = 2_500
/** Maximum number of slots in one request to a broker. */
const SLOTS_PER_REQUEST = 4

/** An item with its job's route, the due time of the job in monotonic ms, and the estimated remaining run time in ms. */
interface RunnableItem { readonly job: OwnedJob, readonly state: ItemState, readonly route: Route, readonly due: number, readonly remaining: number, /** The part of its prompt whose trial it would be. */ readonly trial?: string | undefined }

interface Running { readonly job: OwnedJob, readonly state: ItemState, readonly route: Route, readonly run: ItemRun, readonly trial: string | undefined, /** Monotonic ms. */ readonly startedAt: number }

/** Runs the items of this daemon's jobs on slots that online requests leave free, and stops items when those slots are needed. */
@scoped(Lifecycle.ContainerScoped)
export class JobRunner implements Part {
  private readonly jobs = new Set<OwnedJob>()
  private readonly running = new Set<Running>()
  private readonly listeners = new Set<(job: OwnedJob) => void>()
  private readonly routes: RouteFinder
  private readonly trials: ItemTrials
  private readonly versions: ItemVersions
  private readonly waits: WaitingLog
  private readonly parts = new WeakMap<ItemState, readonly string[]>()
  private draining = false
  private requestScheduled = false
  private cancel = (): void => {}

  constructor (
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(SlotClient) private readonly slots: SlotClient,
    @inject(Sender) private readonly sender: Sender,
    @inject(Servers) private readonly servers: Servers,
    @inject(PartBlame) blame: Pick<PartBlame, 'check' | 'tellTrial'>,
    @inject(ConfigurationHolder) configuration: ConfigurationHolder,
    @inject(ItemDurationEstimator) private readonly durations: ItemDurationEstimator,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.serverDialect) private readonly dialect: ServerDialect,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    metrics.gauge('batch_items_running', () => this.running.size)
    for (const reason of waitingReasonTypes) metrics.gauge('batch_items_waiting', () => this.countWaiting(reason), { reason })
    this.trials = new ItemTrials({ blame, clock, random, countTrials: part => [...this.running].filter(({ trial, startedAt }) => trial === part && clock.now() < startedAt + TRIAL_TIME).length })
    this.versions = new ItemVersions({ loads, servers, clock })
    this.waits = new WaitingLog({ log, clock })
    this.routes = new RouteFinder({ clock, getConfiguration: () => configuration.value })
  }

  async start (): Promise<void> {
    this.slots.subscribe({ onGrant: (pool, server) => this.useGrant(pool, server), onRevoke: server => this.stopLast(server) })
    this.cancel = this.clock.every(IDLE_PERIOD, () => {
      this.wake()
      for (const job of this.jobs) this.waits.write(job)
    })
  }

  /** Stops every item and starts no more. */
  async drain (): Promise<void> {
    this.draining = true
    for (const { run } of this.running) run.stop()
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Calls `listener` with each job that has a new result to be stored. */
  subscribe (listener: (job: OwnedJob) => void): void {
    this.listeners.add(listener)
  }

  add (job: OwnedJob): void {
    this.jobs.add(job)
    this.wake()
  }

  /** Stops the running items of the job and starts no more of them. */
  remove (job: OwnedJob): void {
    this.jobs.delete(job)
    for (const running of this.running) if (running.job === job) running.run.stop()
  }

  /** Stops the item with the lowest precedence at a server where a slot is needed. */
  private stopLast (server: string): void {
    const there = [...this.running].filter(({ run, state }) => run.server === server && state.phase === 'running')
    const last = orderBatch(there.map(running => ({ ...this.buildRunnable(running), running })), this.clock.now()).at(-1)
    if (last === undefined) return
    last.state.phase = 'waiting'
    last.running.run.stop()
  }

  private buildRunnable ({ job, state, route }: Pick<RunnableItem, 'job' | 'state' | 'route'>): RunnableItem {
    return { job, state, route, due: job.acceptedAt + (route.jobs?.dueAfter ?? Infinity), remaining: this.durations.estimateRemaining(state) }
  }

  /** Schedules slot requests until no item waits; nothing else wakes a daemon that holds no slot. */
  private wake (): void {
    if (this.requestScheduled || this.jobs.size === 0) return
    this.requestScheduled = true
    this.clock.after(this.random.spread(SLOT_REQUEST_PERIOD), () => {
      this.requestScheduled = false
      if (this.requestSlots()) this.wake()
    })
  }

  /** Requests slots for the waiting items, from each service that one of them runs at; returns whether there are any, or items that wait for a trial: a grant of it lapses soon. */
  private requestSlots (): boolean {
    if (this.draining) return false
    const waiting = this.listWaiting()
    for (const [pool, items] of splitByPool(waiting, this.random)) {
      const { due, remaining } = items[0]!
      this.slots.requestBatchSlots(pool, { count: Math.min(SLOTS_PER_REQUEST, items.length), due, remaining, avoided: this.versions.listAvoided(pool, items) })
    }
    return waiting.length > 0 || this.countWaiting('suspect part') > 0
  }

  /** Lists the items that could start now, in scheduling order. */
  private listWaiting (): readonly RunnableItem[] {
    const now = this.clock.now()
    const busy = new Set([...this.running].map(({ state }) => state))
    const waiting: RunnableItem[] = []
    for (const job of this.jobs) {
      const route = this.routes.find(job)
      const isLookedUp = this.mayStart(job)
      const unstored = new Set(job.pending.map(({ id }) => id))
      for (const state of job.items) {
        const isEnded = this.abandonIfExpired(job, state, route, now)
        const reason = state.phase === 'running' || (isEnded && !unstored.has(state.item.id)) ? undefined : this.findReason(state, { route, isLookedUp, isBusy: busy.has(state), now })
        this.waits.record(state, reason)
        if (route !== undefined && (reason?.type === 'slot' || reason?.type === 'version')) waiting.push({ ...this.buildRunnable({ job, state, route }), trial: reason.trial })
      }
    }
    return orderBatch(waiting, now)
  }

  /** Finds why an item waits. */
  private findReason (state: ItemState, inputs: { readonly route: Route | undefined, readonly isLookedUp: boolean, readonly isBusy: boolean, readonly now: number }): WaitingReason {
    return findWaitingReason({ ...inputs, state, boundUntil: this.versions.findBoundUntil(state), checkParts: () => this.trials.check(this.listParts(state)) })
  }

  private countWaiting (reason: WaitingReason['type']): number {
    return [...this.jobs].reduce((sum, { items }) => sum + items.filter(state => this.waits.find(state) === reason).length, 0)
  }

  /** Lists the parts of the item's prompt that other requests may share. */
  private listParts (state: ItemState): readonly string[] {
    const known = this.parts.get(state) ?? listParts(this.dialect, Object.fromEntries(Object.entries(state.item.headers).map(([name, value]) => [name.toLowerCase(), value])))
    this.parts.set(state, known)
    return known
  }

  private mayStart (job: OwnedJob): boolean {
    this.pauses.check()
    return job.mayStart(this.clock.now())
  }

  /** Starts the first item that may run on the granted slot, one that keeps its progress before others. An unused slot returns to the broker with the next load report. */
  private useGrant (pool: string, server: string): void {
    if (this.draining || !this.loads.isOpen(server)) return
    const items = this.listWaiting().filter(({ route, state }) => route.services.some(({ service, weight }) => service === pool && weight > 0) && this.versions.mayRunAt(state, pool, server))
    const fitting = items.filter(({ state }) => this.versions.keepsProgress(state, server) || this.clock.now() >= (this.versions.findBoundUntil(state) ?? Infinity))
    const item = chooseItem(fitting.length > 0 ? fitting : items, job => [...this.running].filter(other => other.job === job).length)
    if (item !== undefined) this.startItem(item, pool, server)
  }

  /** Drops the progress of an item that can't go on at a server of this version. */
  private dropOtherProgress (job: OwnedJob, state: ItemState, server: string): void {
    const version = this.servers.find(server)?.version
    if (state.last === undefined || (state.version ?? '') === version) return
    this.log.write('info', 'jobs', 'begins an item anew', { request: state.item.id, job: job.id, server, version, former: state.version, events: state.last })
    state.last = undefined
    state.progressAt = undefined
    state.version = undefined
    state.unmarkedEnd = undefined
    state.texts.length = 0
  }

  /** Fails an item whose route no longer exists or whose time limit has passed. Returns whether the item has ended. */
  private abandonIfExpired (job: OwnedJob, state: ItemState, route: Route | undefined, now: number): boolean {
    if (state.phase === 'ended') return true
    const cause = findAbandonReason({ route, routeMissedAt: this.routes.findMissedAt(job), acceptedAt: job.acceptedAt, now })
    if (cause === undefined) return false
    this.finish(job, state, 'failed', cause)
    for (const running of this.running) if (running.state === state) running.run.stop()
    return true
  }

  private startItem ({ job, state, route, trial }: RunnableItem, pool: string, server: string): void {
    this.dropOtherProgress(job, state, server)
    const run = new ItemRun({ state, parts: this.listParts(state), host: job.header.host, caller: job.header.caller, pool, server, mayStart: () => this.mayStart(job) && state.phase === 'running' && this.routes.hasService(job, pool), clock: this.clock, sender: this.sender, servers: this.servers, intervals: this.loads.intervals, dialect: this.dialect })
    const [startedAt, events] = [this.clock.now(), state.last ?? 0]
    const running = { job, state, route, run, trial, startedAt }
    state.phase = 'running'
    this.running.add(running)
    if (trial !== undefined) this.trials.begin(trial)
    this.log.write('info', 'jobs', 'started an item', { request: state.item.id, job: job.id, server, version: this.servers.find(server)?.version, events: state.last, trial })
    void this.runItem(running).then(outcome => {
      this.running.delete(running)
      this.durations.recordRun((state.last ?? 0) - events, this.clock.now() - startedAt)
      this.handleOutcome(running, outcome)
    })
  }

  /** An item whose run breaks off by a defect is run again; otherwise it would stay in the state of running for ever. */
  private async runItem ({ job, state, run }: Running): Promise<ItemOutcome> {
    try {
      return await run.run()
    } catch (error) {
      this.log.write('error', 'jobs', 'a run of an item threw', { request: state.item.id, job: job.id, server: run.server, error: (error as Error).stack })
      return { type: 'lost', detail: (error as Error).message }
    }
  }

  private handleOutcome ({ job, state, route, run }: Running, outcome: ItemOutcome): void {
    this.metrics.count('batch_runs_total', { outcome: outcome.type })
    this.wake()
    if (state.phase === 'ended') return
    state.phase = 'waiting'
    switch (outcome.type) {
      case 'completed': return this.finish(job, state, 'completed', state.texts.join('\n'))
      case 'impossible': return this.finish(job, state, 'failed', '')
      case 'stopped': return this.log.write('info', 'jobs', 'stopped an item', { request: state.item.id, job: job.id, server: run.server, events: state.last })
      case 'refused': {
        this.log.write('info', 'jobs', 'a server refused an item', { request: state.item.id, job: job.id, server: run.server })
        return this.loads.markFull(run.server)
      }
      case 'withheld': {
        this.log.write('info', 'jobs', 'withheld an item', { request: state.item.id, job: job.id, server: run.server, detail: outcome.detail, ended: job.ended, lookAge: Math.round(this.clock.now() - (job.lastRead.seen ?? -Infinity)) })
        state.notBefore = this.clock.now() + FIRST_PAUSE
        return
      }
      case 'failed': {
        if (++state.failures >= route.attempts) return this.finish(job, state, 'failed', '')
        return this.pause(state)
      }
      case 'lost': {
        this.log.write('info', 'jobs', 'a run of an item was lost', { request: state.item.id, job: job.id, server: run.server, parts: this.listParts(state), detail: outcome.detail, events: state.last })
        return this.pause(state)
      }
      default: return failUnreachable(outcome)
    }
  }

  private pause (state: ItemState): void {
    state.notBefore = this.clock.now() + this.random.spread(Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** state.losses++))
  }

  private finish (job: OwnedJob, state: ItemState, result: 'completed' | 'failed', text: string): void {
    if (job.ended || !this.jobs.has(job)) return
    if (result === 'completed') this.durations.recordEnd(state)
    job.finish(state, { id: state.item.id, state: result, text: result === 'completed' ? text : '' })
    this.log.write('info', 'jobs', 'an item ended', { request: state.item.id, job: job.id, result, events: state.last, failures: state.failures, after: Math.round(this.clock.now() - job.acceptedAt), detail: result === 'failed' ? text : undefined })
    for (const listener of this.listeners) listener(job)
  }
}

partRegistry.register({ name: 'job runner', part: JobRunner, needs: ['server loads', 'slot asker', 'servers', 'part blame'] })
