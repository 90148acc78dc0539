interface PendingReports { readonly missing: Set<string>, readonly waiting: Array<() => void> }

/** Which daemons haven't yet said what they had in flight at lost servers, asked once for each end of a server. */
export class LossReports {
  private readonly pending = new Map<string, PendingReports>()

  /** Whether the daemons are to be asked: false where they were, and the server hasn't answered since. */
  begin (server: string, daemons: readonly string[]): boolean {
    if (this.pending.has(server)) return false
    this.pending.set(server, { missing: new Set(daemons), waiting: [] })
    return true
  }

  receive (server: string, daemon: string): void {
    const reports = this.pending.get(server)
    if (reports?.missing.delete(daemon) === true && reports.missing.size === 0) this.finish(server)
  }

  /** Waits for those that haven't answered no longer. */
  finish (server: string): void {
    const reports = this.pending.get(server)
    reports?.missing.clear()
    for (const resolve of reports?.waiting.splice(0) ?? []) resolve()
  }

  /** Calls `resolve` once all have said so; at once where they have. */
  wait (server: string, resolve: () => void): void {
    const reports = this.pending.get(server)
    if (reports === undefined || reports.missing.size === 0) resolve()
    else reports.waiting.push(resolve)
  }

  forget (server: string): void {
    this.pending.delete(server)
  }
}
