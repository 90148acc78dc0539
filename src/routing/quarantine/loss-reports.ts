interface PendingReports { readonly missing: Set<string>, readonly waiting: Array<() => void> }

/** Tracks which daemons still have to report what they had in flight at a lost server. They are asked once per loss. */
export class LossReports {
  private readonly pending = new Map<string, PendingReports>()

  /** Expects reports from the daemons. Returns false if they were already asked since the server last answered. */
  begin (server: string, daemons: readonly string[]): boolean {
    if (this.pending.has(server)) return false
    this.pending.set(server, { missing: new Set(daemons), waiting: [] })
    return true
  }

  /** Records the report of one daemon. */
  receive (server: string, daemon: string): void {
    const reports = this.pending.get(server)
    if (reports?.missing.delete(daemon) === true && reports.missing.size === 0) this.finish(server)
  }

  /** Stops waiting for the reports that are missing. */
  finish (server: string): void {
    const reports = this.pending.get(server)
    reports?.missing.clear()
    for (const resolve of reports?.waiting.splice(0) ?? []) resolve()
  }

  /** Calls `resolve` once no report is missing, immediately if none is. */
  wait (server: string, resolve: () => void): void {
    const reports = this.pending.get(server)
    if (reports === undefined || reports.missing.size === 0) resolve()
    else reports.waiting.push(resolve)
  }

  /** Ends all waits and forgets the loss, so that the next one is asked about again. */
  forget (server: string): void {
    this.finish(server)
    this.pending.delete(server)
  }
}
