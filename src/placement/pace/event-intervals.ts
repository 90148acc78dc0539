import type { PaceReport } from './pace-report.js'

interface Sum { count: number, time: number }

/** Decimal places of a mean interval in a report. */
const PRECISION = 10

/** Adds up the intervals between the events of this daemon's streams, by server, until they are reported to the servers' brokers. */
export class EventIntervals {
  private readonly sums = new Map<string, Sum>()

  /** Records `count` events that came within `time` ms of the one before them. */
  record (server: string, count: number, time: number): void {
    const sum = this.sums.get(server) ?? { count: 0, time: 0 }
    sum.count += count
    sum.time += time
    this.sums.set(server, sum)
  }

  /** Returns the intervals by the broker that `findBroker` names for each server, and starts anew. */
  takeReports (findBroker: (server: string) => string | undefined): ReadonlyMap<string, PaceReport> {
    const reports = new Map<string, Array<PaceReport[number]>>()
    for (const [server, { count, time }] of this.sums) {
      const broker = findBroker(server)
      if (broker === undefined) continue
      const report = reports.get(broker) ?? []
      report.push([server, count, Math.round(time / count * PRECISION) / PRECISION])
      reports.set(broker, report)
    }
    this.sums.clear()
    return reports
  }
}
