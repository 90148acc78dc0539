import type { BatchBid } from './batch-bid.js'
import { orderBatch } from './order-batch.js'

/** How long a daemon's wish holds, ms: it is told again some twenty times a second while items wait. */
const BID_TTL = 150

interface Bid extends BatchBid {
  readonly daemon: string
  /** Servers that the daemon may not use. */
  readonly avoided: readonly string[]
  readonly at: number
}

/**
 * What the daemons want for batch from one group of servers.
 *
 * Load pattern: more items than slots, and jobs whose owners differ in how much waits there. Given to whoever asks first, a slot goes to an
 * item with much time as often as to one that is due soon; the wishes are kept for a moment, and whoever asks next, the most urgent goes first.
 */
export class BatchBids {
  private readonly bids = new Map<string, Bid>()

  /** Takes the newest wish of a daemon in place of the one before. */
  put (bid: Bid): void {
    this.bids.set(bid.daemon, bid)
  }

  /** Forgets a daemon that has ended. */
  drop (daemon: string): void {
    this.bids.delete(daemon)
  }

  /** Notes that a daemon was given one slot. */
  use (daemon: string): void {
    const bid = this.bids.get(daemon)
    if (bid === undefined) return
    if (bid.count > 1) this.bids.set(daemon, { ...bid, count: bid.count - 1 })
    else this.bids.delete(daemon)
  }

  /** Those that still hold, the most urgent first. */
  list (now: number): readonly Bid[] {
    for (const [daemon, { at }] of this.bids) if (now >= at + BID_TTL) this.bids.delete(daemon)
    return orderBatch([...this.bids.values()], now)
  }
}
