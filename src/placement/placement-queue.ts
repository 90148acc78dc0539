import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from '../observe/metrics.js'
import { buildQuotaRefusal } from '../quota/build-quota-refusal.js'
import { CallerQuotas } from '../quota/caller-quotas.js'
import type { QuotaDecision } from '../quota/quota-decision.js'
import { givenUpRefusal } from './given-up-refusal.js'
import type { PlacementRequest } from './placement-request.js'
import { ServerLoads } from './server-loads.js'
import { SlotClient } from './slot-client.js'
import { SlotHoldTimes } from './slot-hold-times.js'
import { CallerShares } from './shares/caller-shares.js'
import { SlotQueue } from './slot-queue.js'

/**
 * Obtains slots for online requests from the brokers. If no broker responds in time, the request goes to this daemon's local queue
 * for the pool, which counts only the daemon's own requests in flight.
 */
@scoped(Lifecycle.ContainerScoped)
export class PlacementQueue implements Part {
  private readonly queues = new Map<string, SlotQueue>()

  constructor (
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(SlotClient) private readonly client: SlotClient,
    @inject(SlotHoldTimes) private readonly holdTimes: SlotHoldTimes,
    @inject(CallerQuotas) private readonly quotas: Pick<CallerQuotas, 'take' | 'giveBack'>,
    @inject(CallerShares) private readonly shares: CallerShares,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    metrics.gauge('placement_waiting', () => [...this.queues.values()].reduce((sum, { length }) => sum + length, 0))
  }

  async start (): Promise<void> {
    this.loads.subscribe(() => this.grantAll())
  }

  /** Calls the request's `start` with a server as soon as it has a slot, or its `refuse` if that can't be in time. */
  request (request: PlacementRequest): void {
    this.client.requestSlot(request, () => this.placeLocally(request))
  }

  /** Places the request by what this daemon knows, once its caller's quota allows it. */
  private placeLocally (request: PlacementRequest): void {
    const { signal } = request
    const caller = request.isCounted === true ? undefined : request.caller
    const decision = this.quotas.take(caller)
    if (!(decision instanceof Promise)) return this.admit(request, decision)
    const onAbort = (): void => request.refuse(givenUpRefusal)
    signal.addEventListener('abort', onAbort, { once: true })
    void decision.then(decision => {
      signal.removeEventListener('abort', onAbort)
      if (!signal.aborted) this.admit(request, decision)
      else if (decision.type === 'granted') this.quotas.giveBack(caller)
    })
  }

  private admit (request: PlacementRequest, decision: QuotaDecision): void {
    if (decision.type === 'granted') this.findQueue(request.pool).request(request)
    else request.refuse(buildQuotaRefusal(decision, request.caller))
  }

  /** Records the slot hold time, ms, of a request of the size. */
  recordHoldTime (pool: string, holdTime: number, size?: number): void {
    this.holdTimes.record(pool, holdTime, size)
  }

  private findQueue (pool: string): SlotQueue {
    const existing = this.queues.get(pool)
    if (existing !== undefined) return existing
    const queue = new SlotQueue({
      listCandidates: () => this.loads.listCandidates(pool),
      hasVersion: version => this.loads.listOfVersion(pool, version).length > 0,
      getHoldTime: () => this.holdTimes.find(pool),
      getMeanSize: () => this.holdTimes.findSize(pool),
      findShare: caller => this.shares.find(caller),
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
