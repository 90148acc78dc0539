import type { BatchBid } from './batch-bid.js'
import { orderBatch } from './order-batch.js'

/** Lifetime of a bid, ms; a daemon renews its bid about every 50 ms while items wait. */
const BID_TTL = 150

interface Bid extends BatchBid {
  readonly daemon: string
  /** Servers that the daemon doesn't use at the moment. */
  readonly avoided: readonly string[]
  readonly at: number
}

/**
 * The daemons' current bids for the batch slots of one server group.
 *
 * When items outnumber slots, first come, first served would grant a slot to an item with plenty of time as often as to one
 * that is due soon. Bids are therefore kept for a moment, and each request grants the free slots to the most urgent bids.
 */
export class BatchBids {
  private readonly bids = new Map<string, Bid>()

  /** Stores a daemon's bid and replaces its previous one. */
  put (bid: Bid): void {
    this.bids.set(bid.daemon, bid)
  }

  /** Removes the bid of a daemon whose process has ended. */
  drop (daemon: string): void {
    this.bids.delete(daemon)
  }

  /** Takes one granted slot off a daemon's bid. */
  use (daemon: string): void {
    const bid = this.bids.get(daemon)
    if (bid === undefined) return
    if (bid.count > 1) this.bids.set(daemon, { ...bid, count: bid.count - 1 })
    else this.bids.delete(daemon)
  }

  /** Removes expired bids and returns the others, the most urgent first. */
  list (now: number): readonly Bid[] {
    for (const [daemon, { at }] of this.bids) if (now >= at + BID_TTL) this.bids.delete(daemon)
    return orderBatch([...this.bids.values()], now)
  }
}
