import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { DispatchedItemRunner } from '../ownership/batch/dispatched-item-runner.js'
import { ChunkSource } from './chunks/chunk-source.js'

/** Items of a service that run at once. */
const CONCURRENCY = 8
/** ms between announcements of the demand to the source. */
const DEMAND_PERIOD = 500

/** Runs the batch items of plain services through the dispatcher. Those of models are run by the owners of servers. */
@scoped(Lifecycle.ContainerScoped)
export class PlainRunner implements Part {
  private readonly running = new Map<string, number>()
  private cancelTimer = (): void => {}

  constructor (
    @inject(ChunkSource) private readonly source: ChunkSource,
    @inject(DispatchedItemRunner) private readonly dispatched: DispatchedItemRunner,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    source.subscribe(service => { if (this.isPlain(service)) this.fill(service) })
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(DEMAND_PERIOD, () => {
      for (const service of Object.keys(this.configuration.value.services).filter(name => this.isPlain(name))) {
        this.source.want(service, CONCURRENCY)
        this.fill(service)
      }
    })
  }

  async stop (): Promise<void> {
    this.cancelTimer()
  }

  private isPlain (service: string): boolean {
    return this.configuration.value.services[service]?.kind === 'plain'
  }

  private fill (service: string): void {
    while ((this.running.get(service) ?? 0) < CONCURRENCY) {
      const work = this.source.take(service)
      if (work === undefined) return
      this.running.set(service, (this.running.get(service) ?? 0) + 1)
      void this.dispatched.run(work).then(() => {
        this.running.set(service, this.running.get(service)! - 1)
        this.fill(service)
      })
    }
  }
}

partRegistry.register({ name: 'plain runner', part: PlainRunner, needs: ['dispatcher', 'configuration', 'chunk source'] })
