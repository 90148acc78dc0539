import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { LogSink } from '../observe/log-sink.js'
import type { Metrics } from '../observe/metrics.js'
import type { BatchBids } from './batch-bids.js'
import type { SlotGroup } from './slot-group.js'
import type { SlotLedger } from './slot-ledger.js'
import type { SlotQueue } from './slot-queue.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotResponse } from './slot-response.js'

/** Unacknowledged grants and revocations at which a daemon gets no further batch slots. */
const MAX_UNACKNOWLEDGED = 4
/** Interval at which a broker logs that it grants a group no batch slots, ms. */
const LOG_PERIOD = 10_000

interface BatchGroup {
  readonly pool: string
  readonly group: number
  readonly servers: SlotGroup
  readonly queue: Pick<SlotQueue, 'length' | 'countWaiting'>
  readonly bids: BatchBids
}

interface BatchGranterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
  readonly log: LogSink
  readonly ledger: SlotLedger
  /** Whether this daemon considers itself the broker of the group. */
  readonly isBroker: (pool: string, group: number) => boolean
  readonly send: (daemon: string, answer: SlotResponse) => void
}

/** Grants batch slots of the groups whose broker this daemon is, when a daemon bids for them. */
export class BatchGranter {
  /** Time of the last log line, by pool and group. */
  private readonly loggedAt = new Map<string, number>()

  constructor (private readonly options: BatchGranterOptions) {}

  /** Stores the daemon's bid, grants slots to the most urgent ones, and confirms the bid if it asks for that. */
  receiveBid (daemon: string, state: BatchGroup, { count, avoided, dueIn, remaining, confirm = false }: Extract<SlotRequest, { work: 'batch' }>): void {
    const { clock, isBroker, send } = this.options
    const { pool, group } = state
    const now = clock.now()
    state.bids.put({ daemon, count, avoided, due: now + dueIn, remaining, at: now })
    // A single daemon may bid here in the broker's place; without the others' reports their slots would look idle.
    const mayGrant = isBroker(pool, group)
    if (mayGrant) this.grant(state)
    else this.recordNone(state, 'not the broker')
    if (confirm) send(daemon, { type: 'bid', pool, group, isBroker: mayGrant })
  }

  /**
   * Grants slots when a daemon bids, not whenever one becomes free: the next online request would then have to preempt an item,
   * and wait in the engine if its daemon is slow to stop it. A daemon that doesn't acknowledge several grants in time gets no
   * more until they expire, because grants that don't reach it would hold every slot.
   */
  private grant (state: BatchGroup): void {
    const { clock, ledger } = this.options
    const now = clock.now()
    const bids = state.bids.list(now)
    // Planned once and after each grant; planning per bid would be too slow with a large batch backlog.
    let plan = this.plan(state)
    let granted = 0
    for (const { daemon, count, avoided } of bids) {
      if (ledger.countUnacknowledged(daemon, now) >= MAX_UNACKNOWLEDGED) continue
      for (let n = 0; n < count && plan.start > 0; n++) {
        const server = this.chooseIdle(plan.servers, avoided)
        if (server === undefined) break
        state.bids.use(daemon)
        this.grantSlot(daemon, state.pool, server)
        granted++
        plan = this.plan(state)
      }
    }
    if (granted === 0) this.recordNone(state, plan.start > 0 ? 'bids avoid the idle servers' : 'no slot')
  }

  private plan ({ servers, queue }: BatchGroup): ReturnType<SlotGroup['planBatch']> {
    return servers.planBatch(versions => queue.countWaiting(versions))
  }

  private grantSlot (daemon: string, pool: string, server: string): void {
    const { clock, ledger, metrics, send } = this.options
    const g = ledger.record(daemon, { at: clock.now(), server, online: 0, batch: 1 })
    metrics.count('batch_bids_total', { outcome: 'granted' })
    send(daemon, { type: 'batch', g, server, pool })
  }

  /** Counts that a bid found no slot, and logs it once in a while. */
  private recordNone ({ pool, group, servers, queue, bids }: BatchGroup, cause: 'not the broker' | 'no slot' | 'bids avoid the idle servers'): void {
    const { clock, metrics, log, ledger } = this.options
    const now = clock.now()
    metrics.count('batch_bids_total', { outcome: cause })
    if (now < (this.loggedAt.get(`${pool} ${group}`) ?? -Infinity) + LOG_PERIOD) return
    this.loggedAt.set(`${pool} ${group}`, now)
    const candidates = servers.listCandidates()
    const sum = (read: (candidate: typeof candidates[number]) => number): number => candidates.reduce((total, candidate) => total + read(candidate), 0)
    log.write('info', 'slots', 'grants no batch slots', {
      pool,
      group,
      cause,
      servers: servers.names.length,
      candidates: candidates.length,
      probed: candidates.filter(({ probe }) => probe !== undefined).length,
      slots: sum(({ slots }) => slots),
      online: sum(({ online }) => online),
      batch: sum(({ batch }) => batch),
      waiting: queue.length,
      daemons: bids.list(now).length,
      unacknowledged: [...ledger.listUnresponsive(now)].join(' ')
    })
  }

  /** Chooses a server with most idle slots, at random among equals. */
  private chooseIdle (servers: ReturnType<SlotGroup['planBatch']>['servers'], avoided: readonly string[]): string | undefined {
    const open = servers.filter(({ server }) => !avoided.includes(server))
    const most = Math.max(...open.map(({ idle }) => idle))
    const best = open.filter(({ idle }) => idle === most)
    return best[this.options.random.below(best.length)]?.server
  }
}
