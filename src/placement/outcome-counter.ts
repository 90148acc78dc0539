import type { OutcomeReport } from './outcome-report.js'

/** Counts how a daemon's requests end at each server until the outcomes are reported to the servers' brokers. */
export class OutcomeCounter {
  private readonly counts = new Map<string, Record<'online' | 'batch', { answered: number, failed: number }>>()

  record (server: string, failed: boolean, work: 'online' | 'batch' = 'online'): void {
    const counts = this.counts.get(server) ?? { online: { answered: 0, failed: 0 }, batch: { answered: 0, failed: 0 } }
    counts[work][failed ? 'failed' : 'answered']++
    this.counts.set(server, counts)
  }

  /** Returns the outcomes by the broker that `findBroker` names for each server, and starts to count anew. */
  takeReports (findBroker: (server: string) => string | undefined): ReadonlyMap<string, OutcomeReport> {
    const reports = new Map<string, Array<OutcomeReport[number]>>()
    for (const [server, { online, batch }] of this.counts) {
      const broker = findBroker(server)
      const entry: OutcomeReport[number] = [server, online.answered, online.failed, ...batch.answered + batch.failed > 0 ? [batch.answered, batch.failed] as const : [] as const]
      if (broker !== undefined) reports.set(broker, [...reports.get(broker) ?? [], entry])
    }
    this.counts.clear()
    return reports
  }
}
