import { AdaptiveTimeout } from './adaptive-timeout.js'
import type { LoadCounts } from './load-counts.js'
import type { LoadReport } from './load-report.js'
import { LoadTable } from './load-table.js'

/** Age at which a load report expires, ms: three times its period. */
const REPORT_TTL = 3_000
/** Age at which an unacknowledged change counts as lost, ms; acknowledging reports come at least once a second. */
const PENDING_TTL = 2_500

/** Bounds of the timeout, ms, for the acknowledgement of a batch grant or revocation; a daemon normally reports within 5 ms. */
const CONFIRM_TIMEOUT = { least: 100, most: 1_000 }

/** A change of a daemon's counts at a server that its load reports don't include yet. */
interface PendingChange { readonly sequence: number, readonly at: number, readonly server: string, readonly online: number, readonly batch: number }

const NONE: ReadonlySet<string> = new Set()

/**
 * Tracks what each daemon has in flight at a broker's servers: its last load report plus the changes sent to it since. Changes have a
 * sequence number for each daemon, and a report acknowledges them up to a number, so a slot is neither counted twice nor missed while
 * a grant is in transit. The next report corrects the effect of a lost message.
 */
export class SlotLedger {
  private readonly loads = new LoadTable()
  private readonly pending = new Map<string, PendingChange[]>()
  private readonly lastSequence = new Map<string, number>()
  /** Timeout for the acknowledgement of batch changes. */
  private readonly confirmTimeout = new AdaptiveTimeout(CONFIRM_TIMEOUT)

  /** Records a change that is sent to `daemon` and returns its sequence number. */
  record (daemon: string, change: Omit<PendingChange, 'sequence'>): number {
    const sequence = (this.lastSequence.get(daemon) ?? 0) + 1
    this.lastSequence.set(daemon, sequence)
    this.setPending(daemon, [...this.pending.get(daemon) ?? [], { sequence, ...change }], change.at)
    return sequence
  }

  /** Stores a daemon's load report, which includes its changes up to sequence number `seen`. */
  put (daemon: string, report: LoadReport, seen: number, now: number): void {
    this.loads.put(`report ${daemon}`, report, now)
    const pending = this.pending.get(daemon) ?? []
    for (const { sequence, at, batch } of pending) if (sequence <= seen && batch !== 0) this.confirmTimeout.record(now - at)
    this.setPending(daemon, pending.filter(({ sequence }) => sequence > seen), now)
  }

  /** Removes the counts of a daemon whose process has ended. */
  drop (daemon: string): void {
    this.loads.drop(`report ${daemon}`)
    this.loads.drop(`pending ${daemon}`)
    this.pending.delete(daemon)
  }

  /** Removes expired reports and pending changes. */
  dropExpired (now: number): void {
    for (const [daemon, changes] of this.pending) this.setPending(daemon, changes.filter(({ at }) => now < at + PENDING_TTL), now)
    this.loads.dropBefore(now - REPORT_TTL)
  }

  /** Returns the age of the oldest count, ms; 0 if there is none. */
  readAge (now: number): number {
    return now - (this.loads.findOldestTime() ?? now)
  }

  /** Counts the batch changes that the daemon has not acknowledged in time. */
  countUnacknowledged (daemon: string, now: number): number {
    const { timeout } = this.confirmTimeout
    return (this.pending.get(daemon) ?? []).filter(({ at, batch }) => batch !== 0 && now >= at + timeout).length
  }

  /** Returns the daemons that have not acknowledged a batch change in time. */
  listUnresponsive (now: number): ReadonlySet<string> {
    const { timeout } = this.confirmTimeout
    const isLate = ({ at, batch }: PendingChange): boolean => batch !== 0 && now >= at + timeout
    const daemons = new Set<string>()
    for (const [daemon, changes] of this.pending) if (changes.some(isLate)) daemons.add(daemon)
    return daemons
  }

  /**
   * Returns the counts of all daemons at the server. Batch items of an unresponsive daemon can't be preempted and count as online:
   * the engines of a daemon that crashed go on with its items, and a request granted such a slot would wait in the engine.
   */
  find (server: string, unresponsive: ReadonlySet<string> = NONE): LoadCounts {
    const { online, batch } = this.loads.find(server)
    if (unresponsive.size === 0) return { online, batch: Math.max(0, batch) }
    const unresponsiveBatch = this.loads.listBatchCounts(server).filter(([name]) => unresponsive.has(parseDaemon(name)))
    const batchTotal = unresponsiveBatch.reduce((sum, [, count]) => sum + count, 0)
    // Items that it was asked to stop are assumed to run on.
    const running = unresponsiveBatch.reduce((sum, [, count]) => sum + Math.max(0, count), 0)
    return { online: online + running, batch: Math.max(0, batch - batchTotal) }
  }

  /** Returns the responsive daemon with most batch items at the server, or undefined if there are no such items. */
  findMostBatch (server: string, unresponsive: ReadonlySet<string> = NONE): string | undefined {
    const counts = [...this.countBatch(server)].filter(([daemon]) => !unresponsive.has(daemon))
    const [daemon, most] = counts.reduce((first, other) => other[1] > first[1] ? other : first, ['', 0])
    return most > 0 ? daemon : undefined
  }

  /** Counts the batch items at the server by daemon. */
  private countBatch (server: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const [name, batch] of this.loads.listBatchCounts(server)) {
      const daemon = parseDaemon(name)
      counts.set(daemon, (counts.get(daemon) ?? 0) + batch)
    }
    return counts
  }

  private setPending (daemon: string, changes: PendingChange[], now: number): void {
    if (changes.length > 0) this.pending.set(daemon, changes)
    else this.pending.delete(daemon)
    this.loads.put(`pending ${daemon}`, changes.map(({ server, online, batch }) => [server, online, batch] as const), now)
  }
}

/** Returns the daemon of a source in the load table. */
function parseDaemon (name: string): string {
  return name.slice(name.indexOf(' ') + 1)
}
