import type { LoadCounts } from './load-counts.js'
import type { LoadReport } from './load-report.js'

interface Entry { readonly at: number, readonly report: LoadReport }

const NONE: LoadCounts = { online: 0, batch: 0 }

/** Load reports by source, with incrementally updated sums by server: adding up all sources for each placement would be too slow. */
export class LoadTable {
  private readonly entries = new Map<string, Entry>()
  private readonly sums = new Map<string, LoadCounts>()

  put (source: string, report: LoadReport, at: number): void {
    this.drop(source)
    this.entries.set(source, { at, report })
    this.add(report, 1)
  }

  /** Removes the report of a source, if there is one. */
  drop (source: string): void {
    const previous = this.entries.get(source)
    if (previous === undefined) return
    this.entries.delete(source)
    this.add(previous.report, -1)
  }

  /** Removes reports that were stored before `time`. */
  dropBefore (time: number): void {
    for (const [source, { at }] of this.entries) if (at < time) this.drop(source)
  }

  /** Returns the time of the oldest report that isn't empty, or undefined if there is none. */
  findOldestTime (): number | undefined {
    const times = [...this.entries.values()].filter(({ report }) => report.length > 0).map(({ at }) => at)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** Returns the sum of all reports for a server. */
  find (server: string): LoadCounts {
    return this.sums.get(server) ?? NONE
  }

  /** Lists the sources whose batch count at the server isn't zero, with that count. */
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
