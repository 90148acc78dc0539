import type { LoadCounts } from './load-counts.js'
import type { LoadReport } from './load-report.js'

interface Entry { readonly at: number, readonly report: LoadReport }

const NONE: LoadCounts = { online: 0, batch: 0 }

/** Daemons' load counts with their sums, kept as rows come and go: a sum over all daemons at each choice of a server would cost more than the choice. */
export class LoadTable {
  private readonly entries = new Map<string, Entry>()
  private readonly sums = new Map<string, LoadCounts>()

  put (source: string, report: LoadReport, at: number): void {
    this.drop(source)
    this.entries.set(source, { at, report })
    this.add(report, 1)
  }

  /** Drops the row of a daemon, if it has one. */
  drop (source: string): void {
    const known = this.entries.get(source)
    if (known === undefined) return
    this.entries.delete(source)
    this.add(known.report, -1)
  }

  /** Drops the rows of daemons that haven't been heard since `time`. */
  dropBefore (time: number): void {
    for (const [source, { at }] of this.entries) if (at < time) this.drop(source)
  }

  /** When the oldest row that holds any requests was told; `undefined` where none does. */
  findOldestTime (): number | undefined {
    const times = [...this.entries.values()].filter(({ report }) => report.length > 0).map(({ at }) => at)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** What all of them have in flight at a server. */
  find (server: string): LoadCounts {
    return this.sums.get(server) ?? NONE
  }

  /** Who runs batch at the server, and how many items. */
  listBatchCounts (server: string): ReadonlyArray<readonly [string, number]> {
    return [...this.entries].flatMap(([source, { report }]) => report.filter(([other, , batch]) => other === server && batch !== 0).map(([, , batch]) => [source, batch] as const))
  }

  private add (report: LoadReport, sign: 1 | -1): void {
    for (const [server, online, batch] of report) {
      const sum = this.find(server)
      const next = { online: sum.online + sign * online, batch: sum.batch + sign * batch }
      if (next.online === 0 && next.batch === 0) this.sums.delete(server)
      else this.sums.set(server, next)
    }
  }
}
