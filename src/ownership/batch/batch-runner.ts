import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import { Extensions } from '../../kernel/extensions.js'
import { OnDemandTask } from '../../kernel/on-demand-task.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Metrics } from '../../observe/metrics.js'
import { Sender } from '../../routing/exchanges/sender.js'
import { Servers } from '../../routing/servers/servers.js'
import type { BatchPolicy } from './batch-policy.js'
import { BatchRun } from './batch-run.js'
import { batchSourcePoint } from './batch-source-point.js'
import type { BatchWork } from './batch-work.js'
import { estimatePrefill } from './estimate-prefill.js'
import { OnlineLoad } from '../load/online-load.js'
import { readBatchPolicy } from './read-batch-policy.js'
import { RunSettler } from './run-settler.js'
import { ServedModels } from '../served-models.js'
import { ServerBatch } from './server-batch.js'
import { ServerOwners } from '../server-owners.js'
import { ServerWatch } from '../server-watch.js'
import type { StartedRun } from './started-run.js'
import { WorkQueue } from './work-queue.js'

const TICK_PERIOD = 50 // ms
const CAPACITY_PERIOD = 500 // ms
/** How long after the last item the runner keeps ticking, ms; after that it ticks with each capacity report only. */
const ACTIVE_PERIOD = 60_000

/**
 * Runs batch items on the servers that this daemon owns: takes items from the batch sources as admission allows, and
 * gives them back with their tokens when online requests need the server.
 */
@scoped(Lifecycle.ContainerScoped)
export class BatchRunner implements Part {
  private readonly batches = new Map<string, ServerBatch>()
  private readonly running = new Set<Promise<void>>()
  private readonly policy: BatchPolicy
  private reportedServices = new Set<string>()
  private draining = false
  private lastWorkAt = -Infinity
  private readonly activeTicks: OnDemandTask
  private cancel = (): void => {}

  constructor (
    @inject(ServerOwners) private readonly owners: ServerOwners,
    @inject(ServerWatch) private readonly watch: ServerWatch,
    @inject(OnlineLoad) private readonly online: OnlineLoad,
    @inject(Servers) private readonly servers: Servers,
    @inject(Sender) private readonly sender: Sender,
    @inject(ServedModels) private readonly models: ServedModels,
    @inject(WorkQueue) private readonly queue: WorkQueue,
    @inject(Extensions) private readonly registeredExtensions: Extensions,
    @inject(RunSettler) private readonly settler: RunSettler,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.policy = readBatchPolicy(settings)
    this.activeTicks = new OnDemandTask({ clock, period: TICK_PERIOD, run: () => this.tick() })
  }

  async start (): Promise<void> {
    this.owners.subscribe(() => this.update())
    this.online.subscribe(server => this.batches.get(server)?.handle({ type: 'online', count: this.online.count(server) }))
    this.watch.subscribe(server => this.batches.get(server)?.handle({ type: 'reported', sequences: this.watch.getReportedSequences(server) }))
    for (const source of this.registeredExtensions.collect(batchSourcePoint)) source.subscribe(() => this.handleReady())
    this.metrics.gauge('batch_streams', () => [...this.batches.values()].reduce((sum, batch) => sum + batch.count, 0))
    this.cancel = this.clock.every(CAPACITY_PERIOD, () => this.reportCapacity())
  }

  /** Stops each run right after its next tokens and gives its item back; runs that end with these tokens are finished. */
  async drain (): Promise<void> {
    this.draining = true
    for (const batch of this.batches.values()) batch.stopAll()
    await Promise.all([...this.running, this.queue.drain()])
  }

  async stop (): Promise<void> {
    this.cancel()
    this.activeTicks.stop()
  }

  /** Returns the number of batch runs in flight at the server. */
  count (server: string): number {
    return this.batches.get(server)?.count ?? 0
  }

  private update (): void {
    const owned = this.owners.listOwned()
    for (const [server, batch] of this.batches) {
      if (owned.includes(server)) continue
      this.batches.delete(server)
      batch.close()
    }
    this.queue.keepOnly(owned.filter(server => this.watch.getState(server) === 'open'))
  }

  private handleReady (): void {
    if (this.tick()) this.activeTicks.wake()
  }

  /** Ticks the batches of all owned servers; returns whether there was work recently, so that more may follow soon. */
  private tick (): boolean {
    if (this.draining) return false
    for (const server of this.owners.listOwned()) this.findBatch(server)?.tick()
    if (this.running.size > 0 || this.queue.isBusy) this.lastWorkAt = this.clock.now()
    return this.clock.now() < this.lastWorkAt + ACTIVE_PERIOD
  }

  /** Reports to the batch sources how many items could run here, so that enough are claimed ahead. */
  private reportCapacity (): void {
    if (this.draining) return
    this.update()
    this.handleReady()
    const capacities = new Map([...this.reportedServices].map(service => [service, 0]))
    for (const [server, batch] of this.batches) {
      const capacity = this.watch.getState(server) === 'open' ? batch.capacity : 0
      for (const { service } of this.models.list(server)) capacities.set(service, (capacities.get(service) ?? 0) + capacity)
    }
    for (const source of this.registeredExtensions.collect(batchSourcePoint)) for (const [service, count] of capacities) source.want(service, count)
    this.reportedServices = new Set(capacities.keys())
  }

  private findBatch (server: string): ServerBatch | undefined {
    const maxInFlight = this.models.findLimit(server)
    if (maxInFlight === undefined) return this.batches.get(server)
    const betweenTokens = Math.min(...this.models.list(server).map(({ model }) => model.betweenTokens))
    const admission = { policy: this.policy, maxInFlight, betweenTokens }
    const known = this.batches.get(server)
    if (known !== undefined) known.admission = admission
    const batch = known ?? new ServerBatch({ admission, clock: this.clock, start: prefill => this.startOn(server, prefill) })
    if (known === undefined) {
      this.batches.set(server, batch)
      batch.handle({ type: 'online', count: this.online.count(server) })
    }
    return batch
  }

  private startOn (server: string, prefill: number): StartedRun | undefined {
    if (this.draining || this.watch.getState(server) !== 'open') return this.recordMiss('server not open')
    const work = this.queue.take(server)
    if (work === undefined) return this.recordMiss('no item ready')
    this.lastWorkAt = this.clock.now()
    const cost = estimatePrefill(work, this.settler.recent.isCached(work.id, server, this.clock.now()))
    if (cost > prefill) {
      this.queue.hold(server, work)
      return this.recordMiss('prefill')
    }
    return this.startRun(server, work, cost)
  }

  /** Counts a start that admission allowed but that didn't happen. */
  private recordMiss (why: 'server not open' | 'no item ready' | 'prefill'): undefined {
    this.metrics.count('batch_starts_missed_total', { why })
    return undefined
  }

  private startRun (server: string, work: BatchWork, prefill: number): StartedRun | undefined {
    const target = this.servers.find(server)
    const model = this.models.list(server).find(({ service }) => service === work.service)?.model
    if (target === undefined || model === undefined) {
      this.queue.hold(server, work)
      return undefined
    }
    const batch = this.batches.get(server)!
    const run = new BatchRun({
      work,
      server: target,
      path: work.item.url,
      sender: this.sender,
      now: () => this.clock.now(),
      canResume: model.resume === true,
      onTokens: gap => gap === undefined ? batch.handle({ type: 'prefilled', id: work.id }) : batch.observe(gap)
    })
    let preempted = false
    this.track(run.run().then(outcome => {
      // Removes the run first: an item that is given back may be started here again at once, under the same id.
      batch.end(work.id)
      this.settler.settle(work, server, outcome, preempted)
    }))
    return {
      id: work.id,
      prefill,
      stop: options => {
        preempted = true
        run.stop(options)
      }
    }
  }

  private track (run: Promise<void>): void {
    this.running.add(run)
    void run.finally(() => this.running.delete(run))
  }
}

partRegistry.register({ name: 'batch runner', part: BatchRunner, needs: ['server owners', 'server watch', 'online load', 'servers', 'quarantine', 'dispatcher', 'configuration'] })
