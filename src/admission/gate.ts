import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import { OnDemandTask } from '../kernel/on-demand-task.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from '../observe/metrics.js'
import { Timeline } from '../observe/timeline/timeline.js'
import { Dispatcher } from '../routing/dispatcher.js'
import type { ServerAnswer } from '../routing/exchanges/server-answer.js'
import type { ServerRequest } from '../routing/exchanges/server-request.js'
import { Servers } from '../routing/servers/servers.js'
import { Account } from './account/account.js'
import { BusyShares } from './shares/busy-shares.js'
import { PoolShares } from './shares/pool-shares.js'
import { PoolQueue } from './queue/pool-queue.js'
import type { Refusal } from './refusal.js'

/** Lower limit of the retry time in a refusal, ms. */
const MIN_RETRY_AFTER = 1_000
const DEFAULT_SHARE = 1
/** Period of the checks for free slots while requests wait, ms: some slots become free without a notification. */
const RECHECK_PERIOD = 20
/** Period of the checks whether a busy minute has ended, ms. */
const SHARE_COUNT_PERIOD = 10_000

type Answer = Result<ServerAnswer, Refusal>

/**
 * Admits online requests, each caller within its share, and dispatches them. While servers have capacity, no request waits.
 * Otherwise requests wait here, for a short time and in a fair order, rather than in the queue of an engine, which has no
 * notion of callers or deadlines and can't be left. Requests that can't be admitted in time are refused at once.
 */
@scoped(Lifecycle.ContainerScoped)
export class Gate implements Part {
  private readonly queues = new Map<string, PoolQueue>()
  private readonly busy = new Map<string, BusyShares>()
  private readonly recheck: OnDemandTask
  private cancel = (): void => {}

  constructor (
    @inject(Dispatcher) private readonly dispatcher: Dispatcher,
    @inject(Servers) servers: Servers,
    @inject(PoolShares) private readonly shares: PoolShares,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Account) private readonly account: Account,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    servers.subscribe(() => this.admitWaiting())
    this.recheck = new OnDemandTask({ clock, period: RECHECK_PERIOD, run: () => this.admitWaiting() })
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(SHARE_COUNT_PERIOD, () => this.countShares(this.clock.now()))
  }

  async stop (): Promise<void> {
    this.recheck.stop()
    this.cancel()
    this.countShares(Infinity)
  }

  async send (request: ServerRequest): Promise<Answer> {
    const queue = this.readQueue(request.pool)
    const { pool, caller } = request
    const own = this.configuration.value.callers[caller]?.share ?? DEFAULT_SHARE
    const waits = queue.size > 0 || !this.dispatcher.hasCapacity(request)
    this.shares.count(pool, caller, { share: own, queue, waits })
    const share = own * this.shares.getFactor(pool, caller)
    if (waits) {
      if (!this.dispatcher.isOpen(request.pool)) return await this.dispatcher.send(request)
      return await this.wait(queue, share, request)
    }
    return await this.run(queue, share, request, queue.admit(request.caller, share))
  }

  /**
   * Queues a request. The queue may refuse it while it is being added. No timer is set then: it would settle the request a
   * second time after the longest wait, and the account would show a wait that didn't happen.
   */
  private async wait (queue: PoolQueue, share: number, request: ServerRequest): Promise<Answer> {
    const asked = this.clock.now()
    const { id, caller, service, pool, deadline, signal } = request
    const ahead = queue.size
    this.readBusy(pool).recordWait({ caller, service, share })
    return await new Promise<Answer>(resolve => {
      const stops: (() => void)[] = []
      let settled = false
      const settle = (answer: Answer | Promise<Answer>): void => {
        settled = true
        for (const stop of stops) stop()
        this.countWait(request, this.clock.now() - asked)
        resolve(answer)
      }
      const refuse = (cause: Refusal['cause'], retryAfter: number): void => settle(Err(this.refuse(cause, retryAfter)))
      const start = (cost: number): void => settle(this.run(queue, share, request, cost))
      const hasCapacity = (): boolean => this.dispatcher.hasCapacity(request)
      const leave = queue.add({ caller, share, deadline, hasCapacity, start, refuse }, asked)
      if (settled) return
      this.recheck.wake()
      this.timeline.record({ part: 'gate', what: 'waits', request: id, detail: `behind ${ahead} others for ${pool}` })
      const limit = Math.min(this.configuration.value.limits.queueWait, deadline - asked)
      stops.push(this.clock.after(limit, () => {
        leave()
        refuse('overloaded', queue.estimateWait(queue.size + 1))
      }))
      signal?.addEventListener('abort', leave, { once: true })
    })
  }

  private countWait ({ id, caller, service }: ServerRequest, time: number): void {
    this.metrics.observe('gate_wait_ms', time)
    if (Math.round(time) === 0) return
    this.account.count(caller, service, 'online', { type: 'waited', time })
    this.timeline.record({ part: 'gate', what: 'waited', request: id, detail: `${Math.round(time)} ms` })
  }

  /** Dispatches an admitted request and, when it ends, settles the cost of its slot. */
  private async run (queue: PoolQueue, share: number, request: ServerRequest, cost: number): Promise<Answer> {
    const begin = this.clock.now()
    let settled = false
    const settle = (): void => {
      if (settled) return
      settled = true
      const time = this.clock.now() - begin
      queue.settle(request.caller, share, { cost, time })
      this.readBusy(request.pool).record({ caller: request.caller, service: request.service, share }, time)
    }
    const answer = await this.dispatcher.send(request)
    if (answer.err) {
      settle()
      return answer
    }
    const end = (whole: boolean): void => {
      settle()
      answer.val.end(whole)
    }
    return Ok({ ...answer.val, end })
  }

  /** Admits waiting requests while slots are free. Returns whether any still wait. */
  private admitWaiting (): boolean {
    for (const queue of this.queues.values()) {
      while (queue.peek()?.hasCapacity() === true) queue.take()
    }
    return [...this.queues.values()].some(({ size }) => size > 0)
  }

  private countShares (now: number): void {
    for (const shares of this.busy.values()) {
      for (const { caller, service, got, entitled } of shares.take(now)) this.account.count(caller, service, 'online', { type: 'shared', got, entitled })
    }
  }

  private refuse (cause: Refusal['cause'], retryAfter: number): Refusal {
    return { cause, ran: 'not run', retryAfter: this.random.spread(Math.max(MIN_RETRY_AFTER, retryAfter)), detail: 'every server is busy and the request would not be let in soon enough' }
  }

  private readBusy (pool: string): BusyShares {
    const known = this.busy.get(pool) ?? new BusyShares(this.clock.now())
    this.busy.set(pool, known)
    return known
  }

  private readQueue (pool: string): PoolQueue {
    const known = this.queues.get(pool) ?? new PoolQueue({ longestWait: () => this.configuration.value.limits.queueWait })
    this.queues.set(pool, known)
    return known
  }
}

partRegistry.register({ name: 'gate', part: Gate, needs: ['dispatcher', 'configuration'] })
