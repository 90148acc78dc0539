import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from '../observe/metrics.js'
import type { PlacementRequest } from './placement-request.js'
import { ServerLoads } from './server-loads.js'
import { SlotClient } from './slot-client.js'
import { SlotQueue } from './slot-queue.js'
import { SlotHoldTimes } from './slot-hold-times.js'

/**
 * Where online requests get their slots: from the brokers, or, where a broker says nothing in time, from this daemon's own queue
 * for the pool, by what it has in flight itself.
 */
@scoped(Lifecycle.ContainerScoped)
export class PlacementQueue implements Part {
  private readonly queues = new Map<string, SlotQueue>()

  constructor (
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(SlotClient) private readonly client: SlotClient,
    @inject(SlotHoldTimes) private readonly holdTimes: SlotHoldTimes,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    metrics.gauge('placement_waiting', () => [...this.queues.values()].reduce((sum, { length }) => sum + length, 0))
  }

  async start (): Promise<void> {
    this.loads.subscribe(() => this.grantAll())
  }

  /** Calls `start` with a server at once or when a slot comes free, or `refuse` when that can't be in time. */
  request (request: PlacementRequest): void {
    this.client.requestSlot(request, () => this.findQueue(request.pool).request(request))
  }

  /** Notes how long a request kept its slot, ms. */
  recordHoldTime (pool: string, holdTime: number): void {
    this.holdTimes.record(pool, holdTime)
  }

  private findQueue (pool: string): SlotQueue {
    const known = this.queues.get(pool)
    if (known !== undefined) return known
    const queue = new SlotQueue({
      listCandidates: () => this.loads.listCandidates(pool),
      getHoldTime: () => this.holdTimes.find(pool),
      clock: this.clock,
      random: this.random,
      metrics: this.metrics
    })
    this.queues.set(pool, queue)
    return queue
  }

  private grantAll (): void {
    for (const queue of this.queues.values()) if (queue.length > 0) queue.grantAll()
  }
}

partRegistry.register({ name: 'place queue', part: PlacementQueue, needs: ['server loads', 'slot asker'] })
