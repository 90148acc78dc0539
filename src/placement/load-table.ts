import type { LoadCounts } from './load-counts.js'
import type { LoadRow } from './load-row.js'

interface Told { readonly at: number, readonly row: LoadRow }

const NONE: LoadCounts = { online: 0, batch: 0 }

/** Daemons' load counts with their sums, kept as rows come and go: a sum over all daemons at each choice of a server would cost more than the choice. */
export class LoadTable {
  private readonly told = new Map<string, Told>()
  private readonly sums = new Map<string, LoadCounts>()

  put (daemon: string, row: LoadRow, at: number): void {
    this.drop(daemon)
    this.told.set(daemon, { at, row })
    this.add(row, 1)
  }

  /** Drops the row of a daemon, if it has one. */
  drop (daemon: string): void {
    const known = this.told.get(daemon)
    if (known === undefined) return
    this.told.delete(daemon)
    this.add(known.row, -1)
  }

  /** Drops the rows of daemons that haven't been heard since `time`. */
  dropBefore (time: number): void {
    for (const [daemon, { at }] of this.told) if (at < time) this.drop(daemon)
  }

  /** When the oldest row that holds any requests was told; `undefined` where none does. */
  findOldest (): number | undefined {
    const times = [...this.told.values()].filter(({ row }) => row.length > 0).map(({ at }) => at)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** What all of them have in flight at a server. */
  find (server: string): LoadCounts {
    return this.sums.get(server) ?? NONE
  }

  /** Who runs batch at the server, and how many items. */
  listBatch (server: string): ReadonlyArray<readonly [string, number]> {
    return [...this.told].flatMap(([daemon, { row }]) => row.filter(([other, , batch]) => other === server && batch !== 0).map(([, , batch]) => [daemon, batch] as const))
  }

  private add (row: LoadRow, sign: 1 | -1): void {
    for (const [server, online, batch] of row) {
      const sum = this.find(server)
      const next = { online: sum.online + sign * online, batch: sum.batch + sign * batch }
      if (next.online === 0 && next.batch === 0) this.sums.delete(server)
      else this.sums.set(server, next)
    }
  }
}
