import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline.js'
import { Dispatcher } from '../routing/dispatcher.js'
import type { Item } from './item.js'
import type { ItemResult } from './item-result.js'
import type { Job } from './job.js'
import { JobStore } from './job-store.js'

const POLL_PERIOD = 300
const LEASE = 10_000
const ITEM_TIMEOUT = 60_000
const WORKERS = 8
const MAX_TRIES = 5
const RETRY_PAUSE = 200

/** Claims chunks of jobs and runs their items; the first recorded result of an item is the one that stands. */
@scoped(Lifecycle.ContainerScoped)
export class BatchWorker implements Part {
  private running = true
  private loop: Promise<void> = Promise.resolve()

  constructor (
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(Dispatcher) private readonly dispatcher: Dispatcher,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {}

  async start (): Promise<void> {
    this.loop = this.work()
  }

  async drain (): Promise<void> {
    this.running = false
    await this.loop
  }

  private async work (): Promise<void> {
    while (this.running) {
      const jobs = (await this.jobs.listJobs()).unwrapOr([])
      for (const job of jobs.filter(({ status }) => status === 'in_progress')) await this.workOn(job)
      await this.pause(this.random.spread(POLL_PERIOD))
    }
  }

  private async pause (time: number): Promise<void> {
    await new Promise<void>(resolve => this.clock.after(time, resolve))
  }

  private async workOn (job: Job): Promise<void> {
    const offset = this.random.below(job.chunks)
    for (let i = 0; i < job.chunks && this.running; i++) {
      const n = (i + offset) % job.chunks
      if (job.finished[n] === undefined) await this.workOnChunk(job, n)
    }
  }

  private async workOnChunk (job: Job, n: number): Promise<void> {
    const present = await this.jobs.readChunk(job.id, n)
    if (present.err && present.val.type !== 'missing') return
    if (present.ok && present.val.value.until > this.clock.date()) return
    const results = present.ok ? present.val.value.results : {}
    const claim = { holder: this.settings.instance, until: this.clock.date() + LEASE, results }
    const claimed = await this.jobs.writeChunk(job.id, n, claim, present.ok ? present.val.version : 0)
    const items = await this.jobs.readItems(job.file, n)
    if (claimed.err || items.err) return
    this.timeline.record({ part: 'batch', what: 'claimed', job: job.id, detail: `chunk ${n}` })
    const done = { ...results, ...await this.runItems(job, items.val.filter(({ id }) => results[id] === undefined)) }
    const written = await this.jobs.writeChunk(job.id, n, { ...claim, results: done }, claimed.val.version)
    if (written.err) return
    await this.finish(job.id, n, Object.values(done))
  }

  private async finish (id: string, n: number, results: readonly ItemResult[]): Promise<void> {
    const completed = results.filter(({ type }) => type === 'completed').length
    await this.jobs.updateJob(id, job => {
      const finished = { ...job.finished, [n]: { completed, failed: results.length - completed } }
      const whole = Object.keys(finished).length === job.chunks
      return { ...job, finished, status: whole && job.status === 'in_progress' ? 'completed' : job.status }
    })
    this.timeline.record({ part: 'batch', what: 'finished', job: id, detail: `chunk ${n}` })
  }

  private async runItems (job: Job, items: readonly Item[]): Promise<Record<string, ItemResult>> {
    const results: Record<string, ItemResult> = {}
    const queue = [...items]
    const run = async (): Promise<void> => {
      for (let item = queue.shift(); item !== undefined; item = queue.shift()) results[item.id] = await this.runItem(job, item)
    }
    await Promise.all(Array.from({ length: WORKERS }, run))
    return results
  }

  private async runItem (job: Job, item: Item): Promise<ItemResult> {
    const model = String(item.body.model)
    const service = this.configuration.value.services[model]
    if (service?.kind !== 'model') return { type: 'failed', cause: 'no-such-model', detail: `model: there is no ${model}` }
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const answer = await this.dispatcher.send({
        id: `${job.id}.${item.id}`,
        caller: job.caller,
        service: model,
        pool: service.pool,
        work: 'batch',
        method: 'POST',
        path: item.url,
        headers: { 'content-type': 'application/json' },
        body: Buffer.from(JSON.stringify({ ...item.body, stream: false })),
        idempotent: true,
        deadline: this.clock.now() + ITEM_TIMEOUT,
        limit: this.configuration.value.models[service.model ?? '']?.maxInFlight ?? 1
      })
      if (answer.ok) {
        const result = await readResult(answer.val.status, answer.val.body)
        answer.val.end(result !== undefined)
        if (result !== undefined) return result
      }
      await this.pause(this.random.spread(RETRY_PAUSE))
    }
    return { type: 'failed', cause: 'gave-up', detail: `no whole answer in ${MAX_TRIES} tries` }
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

partRegistry.register({ name: 'batch worker', part: BatchWorker, needs: ['dispatcher', 'configuration'] })
