import type { OutcomeReport } from './outcome-report.js'

/** Counts how a daemon's online requests end at each server until the outcomes are reported to the servers' brokers. */
export class OutcomeCounter {
  private readonly counts = new Map<string, { answered: number, failed: number }>()

  record (server: string, failed: boolean): void {
    const counts = this.counts.get(server) ?? { answered: 0, failed: 0 }
    counts[failed ? 'failed' : 'answered']++
    this.counts.set(server, counts)
  }

  /** Returns the outcomes by the broker that `findBroker` names for each server, and starts to count anew. */
  takeReports (findBroker: (server: string) => string | undefined): ReadonlyMap<string, OutcomeReport> {
    const reports = new Map<string, Array<readonly [string, number, number]>>()
    for (const [server, { answered, failed }] of this.counts) {
      const broker = findBroker(server)
      if (broker !== undefined) reports.set(broker, [...reports.get(broker) ?? [], [server, answered, failed]])
    }
    this.counts.clear()
    return reports
  }
}
