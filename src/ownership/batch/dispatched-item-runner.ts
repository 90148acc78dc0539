import { inject, Lifecycle, scoped } from 'tsyringe'
import { findService } from '../../batch/find-service.js'
import type { ItemResult } from '../../batch/results/item-result.js'
import { ConfigurationHolder } from '../../config/configuration-holder.js'
import type { Clock } from '../../kernel/clock.js'
import { pauseFor } from '../../kernel/pause-for.js'
import { tokens } from '../../kernel/tokens.js'
import { Dispatcher } from '../../routing/dispatcher.js'
import type { BatchWork } from './batch-work.js'

/** Deadline of one run, ms. */
const ITEM_TIMEOUT = 60_000
/** Most requests in flight at one server of a plain service. */
const PLAIN_LIMIT = 64

/**
 * Runs batch items to completion through the dispatcher, which runs suspects in isolation: items of plain services, and
 * items of models whose runs must not be interrupted.
 */
@scoped(Lifecycle.ContainerScoped)
export class DispatchedItemRunner {
  constructor (
    @inject(Dispatcher) private readonly dispatcher: Dispatcher,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async run (work: BatchWork): Promise<void> {
    const { services, models } = this.configuration.value
    const target = findService(work.item, services)
    if (typeof target === 'string') return work.finish({ type: 'failed', cause: 'no-such-service', detail: target })
    const { service, path } = target
    const answer = await this.dispatcher.send({
      id: work.id,
      caller: work.caller,
      service: work.service,
      pool: service.pool,
      work: 'batch',
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ ...work.item.body, stream: false })),
      idempotent: work.idempotent,
      deadline: this.clock.now() + ITEM_TIMEOUT,
      limit: models[service.model ?? '']?.maxInFlight ?? PLAIN_LIMIT,
      signal: work.signal,
      mayStart: () => work.mayStart()
    })
    if (answer.err) {
      const { cause, ran, detail, retryAfter } = answer.val
      if (cause === 'quarantined') return work.finish({ type: 'failed', cause, detail })
      await pauseFor(this.clock, retryAfter)
      return work.giveBack(work.signal.aborted ? 'aborted' : ran === 'not run' ? 'gave way' : 'server failed', { ran: ran !== 'not run', server: '' })
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
