import type { LoadCounts } from './load-counts.js'
import type { LoadReport } from './load-report.js'
import { LoadTable } from './load-table.js'
import { AdaptiveTimeout } from './adaptive-timeout.js'

/** Rows that haven't come again for this long are dropped, ms: three times their period. */
const REPORT_TTL = 3_000
/** A grant that its daemon's rows haven't confirmed for this long was lost, ms: they come once a second at least. */
const PENDING_TTL = 2_500

/** Bounds of the time, ms, within which a daemon confirms that it was given a slot for batch or has to give one back: it tells so within five. */
const CONFIRM_TIMEOUT = { least: 100, most: 1_000 }

/** A change that a daemon was told to make at a server, until its own row shows it. */
interface PendingChange { readonly sequence: number, readonly at: number, readonly server: string, readonly online: number, readonly batch: number }

const NONE: ReadonlySet<string> = new Set()

/**
 * What each daemon has in flight at the servers of a broker: its last row, and what it was told since. Changes are
 * numbered for each daemon and a row says up to which it holds, so that a slot is neither counted twice nor forgotten
 * while a grant is on its way; what is lost is set right by the next row.
 */
export class SlotLedger {
  private readonly loads = new LoadTable()
  private readonly pending = new Map<string, PendingChange[]>()
  private readonly lastSequence = new Map<string, number>()
  /** How long daemons take to confirm what they were told of batch. */
  private readonly confirmTimeout = new AdaptiveTimeout(CONFIRM_TIMEOUT)

  /** Notes a change that `daemon` is told to make, and gives its number. */
  record (daemon: string, change: Omit<PendingChange, 'sequence'>): number {
    const sequence = (this.lastSequence.get(daemon) ?? 0) + 1
    this.lastSequence.set(daemon, sequence)
    this.pending.set(daemon, [...this.pending.get(daemon) ?? [], { sequence, ...change }])
    this.updatePending(daemon, change.at)
    return sequence
  }

  /** Takes a daemon's row, which holds all that it was told up to number `seen`. */
  put (daemon: string, report: LoadReport, seen: number, now: number): void {
    this.loads.put(`row ${daemon}`, report, now)
    const pending = this.pending.get(daemon) ?? []
    for (const { sequence, at, batch } of pending) if (sequence <= seen && batch !== 0) this.confirmTimeout.record(now - at)
    this.pending.set(daemon, pending.filter(({ sequence }) => sequence > seen))
    this.updatePending(daemon, now)
  }

  /** Forgets a daemon that has ended, and all that it was told. */
  drop (daemon: string): void {
    this.loads.drop(`row ${daemon}`)
    this.loads.drop(`told ${daemon}`)
    this.pending.delete(daemon)
  }

  /** Drops what has grown too old to be true. */
  dropExpired (now: number): void {
    for (const [daemon, changes] of this.pending) {
      const kept = changes.filter(({ at }) => now < at + PENDING_TTL)
      if (kept.length > 0) this.pending.set(daemon, kept)
      else this.pending.delete(daemon)
      this.updatePending(daemon, now)
    }
    this.loads.dropBefore(now - REPORT_TTL)
  }

  /** Age, ms, of the oldest count that the ledger goes by; 0 where it has none. */
  readAge (now: number): number {
    return now - (this.loads.findOldestTime() ?? now)
  }

  /** Daemons that haven't confirmed in time what they were told of batch. */
  listUnresponsive (now: number): ReadonlySet<string> {
    const { timeout } = this.confirmTimeout
    const isLate = ({ at, batch }: PendingChange): boolean => batch !== 0 && now >= at + timeout
    return new Set([...this.pending].filter(([, changes]) => changes.some(isLate)).map(([daemon]) => daemon))
  }

  /**
   * What all daemons have at the server. Items of a silent daemon give way to nobody and count as if they were online: where an
   * instance was gone without a word, requests were given the slots of its items, and waited in the engines until those had ended.
   */
  find (server: string, unresponsive: ReadonlySet<string> = NONE): LoadCounts {
    const { online, batch } = this.loads.find(server)
    if (unresponsive.size === 0) return { online, batch: Math.max(0, batch) }
    const unresponsiveBatch = this.loads.listBatchCounts(server).filter(([name]) => unresponsive.has(parseDaemon(name)))
    const batchTotal = unresponsiveBatch.reduce((sum, [, count]) => sum + count, 0)
    // What it was told to stop runs on.
    const running = unresponsiveBatch.reduce((sum, [, count]) => sum + Math.max(0, count), 0)
    return { online: online + running, batch: Math.max(0, batch - batchTotal) }
  }

  /** The daemon with most batch items at the server, of those that aren't silent. */
  findMostBatch (server: string, unresponsive: ReadonlySet<string> = NONE): string | undefined {
    const counts = [...this.countBatch(server)].filter(([daemon]) => !unresponsive.has(daemon))
    const [daemon, most] = counts.reduce((first, other) => other[1] > first[1] ? other : first, ['', 0])
    return most > 0 ? daemon : undefined
  }

  /** By daemon: its batch items at the server. */
  private countBatch (server: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const [name, batch] of this.loads.listBatchCounts(server)) {
      const daemon = parseDaemon(name)
      counts.set(daemon, (counts.get(daemon) ?? 0) + batch)
    }
    return counts
  }

  private updatePending (daemon: string, now: number): void {
    const counts = (this.pending.get(daemon) ?? []).map(({ server, online, batch }) => [server, online, batch] as const)
    this.loads.put(`told ${daemon}`, counts, now)
  }
}

/** The daemon of a row's name. */
function parseDaemon (name: string): string {
  return name.slice(name.indexOf(' ') + 1)
}
