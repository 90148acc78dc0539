import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { LogSink } from '../observe/log-sink.js'
import type { Metrics } from '../observe/metrics.js'
import type { BatchBid } from './batch-bid.js'
import { BidContacts } from './bid-contacts.js'
import type { GroupChooser } from './group-chooser.js'
import type { ServerLoads } from './server-loads.js'
import type { SlotMap } from './slot-map.js'
import type { SlotRequest } from './slot-request.js'

interface BatchBidderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
  readonly log: LogSink
  readonly loads: Pick<ServerLoads, 'listCandidates' | 'listUnavailableToItems'>
  readonly map: Pick<SlotMap, 'findBroker' | 'findGroup'>
  readonly groups: GroupChooser
  readonly send: (broker: string, request: SlotRequest) => void
  /** Called with a server where an item may start without the broker of its group. */
  readonly onGrant: (pool: string, server: string) => void
}

/** Bids for batch slots at the brokers, and starts an item now and then in a group whose broker doesn't confirm the bids. */
export class BatchBidder {
  private readonly contacts = new BidContacts()

  constructor (private readonly options: BatchBidderOptions) {}

  /** Sends a bid to the broker of one of the pool's groups, which may grant none and sends no response then. */
  submit (pool: string, { count, due, remaining, avoided = [] }: BatchBid): void {
    const { clock, loads, map, groups, send } = this.options
    const group = groups.chooseForBatch(pool)
    const now = clock.now()
    const broker = map.findBroker(pool, group)
    const confirm = this.contacts.recordBid(`${pool} ${group}`, now)
    if (broker !== undefined) send(broker, { work: 'batch', pool, group, avoided: [...loads.listUnavailableToItems(pool), ...avoided], count, dueIn: due - now, remaining, ...confirm && { confirm } })
    if (this.contacts.mayStart(`${pool} ${group}`, now)) this.startWithoutBroker(pool, group, avoided)
  }

  /** Records that the group's broker confirmed a bid. */
  recordConfirmation (pool: string, group: number): void {
    this.contacts.recordConfirmation(`${pool} ${group}`)
  }

  /** Starts one item at a time. More could exceed the slots of the group's servers, since this daemon knows only its own requests. */
  private startWithoutBroker (pool: string, group: number, avoided: readonly string[]): void {
    const { clock, random, metrics, log, loads, map, onGrant } = this.options
    const candidates = loads.listCandidates(pool).filter(({ server }) => map.findGroup(pool, server) === group)
    const open = candidates.filter(({ server }) => !avoided.includes(server))
    const server = open[random.below(open.length)]?.server
    if (server === undefined || candidates.some(({ ownBatch }) => ownBatch > 0)) return
    this.contacts.recordStart(`${pool} ${group}`, clock.now())
    metrics.count('batch_bids_total', { outcome: 'without a broker' })
    log.write('warn', 'slots', 'starts an item without a broker', { pool, group, server, broker: map.findBroker(pool, group) })
    onGrant(pool, server)
  }
}
