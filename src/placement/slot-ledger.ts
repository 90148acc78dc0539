import type { LoadCounts } from './load-counts.js'
import type { LoadRow } from './load-row.js'
import { LoadTable } from './load-table.js'
import { UsualDelay } from './usual-delay.js'

/** Rows that haven't come again for this long are dropped, ms: three times their period. */
const ROW_KEPT = 3_000
/** A grant that its daemon's rows haven't confirmed for this long was lost, ms: they come once a second at least. */
const GRANT_KEPT = 2_500

/** Bounds of the time, ms, within which a daemon confirms that it was given a slot for batch or has to give one back: it tells so within five. */
const CONFIRM_WITHIN = { least: 100, most: 1_000 }

/** A change that a daemon was told to make at a server, until its own row shows it. */
interface Told { readonly n: number, readonly at: number, readonly server: string, readonly online: number, readonly batch: number }

const NOBODY: ReadonlySet<string> = new Set()

/**
 * What each daemon has in flight at the servers of a broker: its last row, and what it was told since. Changes are
 * numbered for each daemon and a row says up to which it holds, so that a slot is neither counted twice nor forgotten
 * while a grant is on its way; what is lost is set right by the next row.
 */
export class SlotLedger {
  private readonly rows = new LoadTable()
  private readonly told = new Map<string, Told[]>()
  private readonly numbers = new Map<string, number>()
  /** How long daemons take to confirm what they were told of batch. */
  private readonly confirming = new UsualDelay(CONFIRM_WITHIN)

  /** Notes a change that `daemon` is told to make, and gives its number. */
  record (daemon: string, change: Omit<Told, 'n'>): number {
    const n = (this.numbers.get(daemon) ?? 0) + 1
    this.numbers.set(daemon, n)
    this.told.set(daemon, [...this.told.get(daemon) ?? [], { n, ...change }])
    this.showTold(daemon, change.at)
    return n
  }

  /** Takes a daemon's row, which holds all that it was told up to number `seen`. */
  put (daemon: string, row: LoadRow, seen: number, now: number): void {
    this.rows.put(`row ${daemon}`, row, now)
    const told = this.told.get(daemon) ?? []
    for (const { n, at, batch } of told) if (n <= seen && batch !== 0) this.confirming.record(now - at)
    this.told.set(daemon, told.filter(({ n }) => n > seen))
    this.showTold(daemon, now)
  }

  /** Forgets a daemon that has ended, and all that it was told. */
  drop (daemon: string): void {
    this.rows.drop(`row ${daemon}`)
    this.rows.drop(`told ${daemon}`)
    this.told.delete(daemon)
  }

  /** Drops what has grown too old to be true. */
  dropOld (now: number): void {
    for (const [daemon, changes] of this.told) {
      const kept = changes.filter(({ at }) => now < at + GRANT_KEPT)
      if (kept.length > 0) this.told.set(daemon, kept)
      else this.told.delete(daemon)
      this.showTold(daemon, now)
    }
    this.rows.dropBefore(now - ROW_KEPT)
  }

  /** Age, ms, of the oldest count that the ledger goes by; 0 where it has none. */
  readAge (now: number): number {
    return now - (this.rows.findOldest() ?? now)
  }

  /** Daemons that haven't confirmed in time what they were told of batch. */
  listSilent (now: number): ReadonlySet<string> {
    const { silentAfter } = this.confirming
    const isLate = ({ at, batch }: Told): boolean => batch !== 0 && now >= at + silentAfter
    return new Set([...this.told].filter(([, changes]) => changes.some(isLate)).map(([daemon]) => daemon))
  }

  /**
   * What all daemons have at the server. Items of a silent daemon give way to nobody and count as if they were online: where an
   * instance was gone without a word, requests were given the slots of its items, and waited in the engines until those had ended.
   */
  find (server: string, silent: ReadonlySet<string> = NOBODY): LoadCounts {
    const { online, batch } = this.rows.find(server)
    if (silent.size === 0) return { online, batch: Math.max(0, batch) }
    const theirs = this.rows.listBatch(server).filter(([name]) => silent.has(readDaemon(name)))
    const told = theirs.reduce((sum, [, count]) => sum + count, 0)
    // What it was told to stop runs on.
    const fixed = theirs.reduce((sum, [, count]) => sum + Math.max(0, count), 0)
    return { online: online + fixed, batch: Math.max(0, batch - told) }
  }

  /** The daemon with most batch items at the server, of those that aren't silent. */
  findBatch (server: string, silent: ReadonlySet<string> = NOBODY): string | undefined {
    const counts = [...this.countBatch(server)].filter(([daemon]) => !silent.has(daemon))
    const [daemon, most] = counts.reduce((first, other) => other[1] > first[1] ? other : first, ['', 0])
    return most > 0 ? daemon : undefined
  }

  /** By daemon: its batch items at the server. */
  private countBatch (server: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const [name, batch] of this.rows.listBatch(server)) {
      const daemon = readDaemon(name)
      counts.set(daemon, (counts.get(daemon) ?? 0) + batch)
    }
    return counts
  }

  private showTold (daemon: string, now: number): void {
    const counts = (this.told.get(daemon) ?? []).map(({ server, online, batch }) => [server, online, batch] as const)
    this.rows.put(`told ${daemon}`, counts, now)
  }
}

/** The daemon of a row's name. */
function readDaemon (name: string): string {
  return name.slice(name.indexOf(' ') + 1)
}
