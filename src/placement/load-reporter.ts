import type { Clock } from '../kernel/clock.js'
import type { LoadReport } from './load-report.js'
import type { ServerLoads } from './server-loads.js'
import type { SlotMap } from './slot-map.js'

/** How long ends are gathered before a broker is told, ms. */
const REPORT_DELAY = 5
/** Rows are told after this at the latest, ms, for what was lost. */
const REPORT_PERIOD = 1_000
/** How often a broker is told that nothing is left: once more in case that is lost, and no more, as most daemons are at rest. */
const MAX_EMPTY_REPORTS = 2

interface LoadReporterOptions {
  readonly clock: Clock
  readonly loads: Pick<ServerLoads, 'ownCounts'>
  readonly map: Pick<SlotMap, 'findBrokerForServer'>
  /** Sends a broker its row, which holds all that it told this daemon up to number `seen`. */
  readonly send: (broker: string, report: LoadReport, seen: number) => void
}

/** What a broker was told last, when, and how often in a row. */
interface SentReport { readonly text: string, readonly at: number, readonly times: number }

/** Tells each broker what this daemon has in flight at its servers: ends within some ms, all of it once a second. */
export class LoadReporter {
  /** By broker: the number of the newest change that it told this daemon. */
  private readonly seen = new Map<string, number>()
  private readonly sent = new Map<string, SentReport>()
  private isScheduled = false
  private cancel = (): void => {}

  constructor (private readonly options: LoadReporterOptions) {}

  start (): void {
    this.cancel = this.options.clock.every(REPORT_PERIOD, () => this.reportAll(REPORT_PERIOD))
  }

  stop (): void {
    this.cancel()
  }

  /** Notes that a broker's change has come. */
  recordSeen (broker: string, sequence: number): void {
    this.seen.set(broker, sequence)
  }

  /** Something ended, or a grant isn't used. */
  reportSoon (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    this.options.clock.after(REPORT_DELAY, () => {
      this.isScheduled = false
      this.reportAll(Infinity)
    })
  }

  /** Tells each broker whose row has changed, or was last told `age` ms ago. */
  private reportAll (age: number): void {
    const now = this.options.clock.now()
    for (const [broker, report] of this.buildReports()) {
      const seen = this.seen.get(broker) ?? 0
      const text = JSON.stringify([report, seen])
      const last = this.sent.get(broker)
      const times = last?.text === text ? last.times : 0
      if (last !== undefined && times > 0 && (now < last.at + age || (report.length === 0 && times >= MAX_EMPTY_REPORTS))) continue
      this.sent.set(broker, { text, at: now, times: times + 1 })
      this.options.send(broker, report, seen)
    }
  }

  /** A broker that was told something is told as well that nothing is left. */
  private buildReports (): ReadonlyMap<string, LoadReport> {
    const { loads, map } = this.options
    const reports = new Map<string, Array<readonly [string, number, number]>>()
    for (const broker of [...this.sent.keys(), ...this.seen.keys()]) reports.set(broker, [])
    for (const [server, { online, batch }] of loads.ownCounts) {
      const broker = map.findBrokerForServer(server)
      if (broker !== undefined) reports.set(broker, [...reports.get(broker) ?? [], [server, online, batch]])
    }
    return reports
  }
}
