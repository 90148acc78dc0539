import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import type { BatchWork } from '../ownership/batch-work.js'
import { Dispatcher } from '../routing/dispatcher.js'
import { ChunkSource } from './chunk-source.js'
import { findService } from './find-service.js'
import type { ItemResult } from './item-result.js'

const ITEM_TIMEOUT = 60_000
const WORKERS = 8
const PLAIN_LIMIT = 64
const WANT_PERIOD = 500

/** Runs the batch items of plain services through the dispatcher, a fixed number at once; models are the owners' to run. */
@scoped(Lifecycle.ContainerScoped)
export class PlainRunner implements Part {
  private readonly running = new Map<string, number>()
  private cancelTimer = (): void => {}

  constructor (
    @inject(ChunkSource) private readonly source: ChunkSource,
    @inject(Dispatcher) private readonly dispatcher: Dispatcher,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    source.subscribe(service => { if (this.isPlain(service)) this.fill(service) })
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(WANT_PERIOD, () => {
      for (const service of Object.keys(this.configuration.value.services).filter(name => this.isPlain(name))) {
        this.source.want(service, WORKERS)
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
    while ((this.running.get(service) ?? 0) < WORKERS) {
      const work = this.source.take(service)
      if (work === undefined) return
      this.running.set(service, (this.running.get(service) ?? 0) + 1)
      void this.run(work).then(() => {
        this.running.set(service, this.running.get(service)! - 1)
        this.fill(service)
      })
    }
  }

  private async run (work: BatchWork): Promise<void> {
    const target = findService(work.item, this.configuration.value.services)
    if (typeof target === 'string') return work.finish({ type: 'failed', cause: 'no-such-service', detail: target })
    const answer = await this.dispatcher.send({
      id: work.id,
      caller: work.caller,
      service: work.service,
      pool: target.service.pool,
      work: 'batch',
      method: 'POST',
      path: target.path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ ...work.item.body, stream: false })),
      idempotent: work.idempotent,
      deadline: this.clock.now() + ITEM_TIMEOUT,
      limit: this.configuration.value.models[target.service.model ?? '']?.maxInFlight ?? PLAIN_LIMIT,
      signal: work.signal
    })
    if (answer.err) {
      await new Promise<void>(resolve => this.clock.after(answer.val.retryAfter, resolve))
      return work.giveBack(answer.val.ran === 'not run' ? 'gave way' : work.signal.aborted ? 'aborted' : 'server failed', { ran: answer.val.ran !== 'not run', server: '' })
    }
    const result = await readResult(answer.val.status, answer.val.body)
    answer.val.end(result !== undefined)
    if (result !== undefined) work.finish(result)
    else work.giveBack(work.signal.aborted ? 'aborted' : 'server failed', { ran: true, server: answer.val.server })
  }
}

async function readResult (status: number, body: AsyncIterable<Buffer>): Promise<ItemResult | undefined> {
  try {
    const parts: Buffer[] = []
    for await (const part of body) parts.push(part)
    const value = JSON.parse(Buffer.concat(parts).toString())
    if (status < 300) return { type: 'completed', status, body: value }
    return status < 500 ? { type: 'failed', cause: `status-${status}`, detail: String(value.error?.message ?? value.detail) } : undefined
  } catch {
    return undefined
  }
}

partRegistry.register({ name: 'plain runner', part: PlainRunner, needs: ['dispatcher', 'configuration', 'chunk source'] })
