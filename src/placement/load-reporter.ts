import type { Clock } from '../kernel/clock.js'
import type { LoadReport } from './load-report.js'
import type { OutcomeReport } from './outcome-report.js'
import type { PaceReport } from './pace/pace-report.js'
import type { ServerLoads } from './server-loads.js'
import type { SlotMap } from './slot-map.js'

/** How long changes are collected before a report is sent, ms. */
const REPORT_DELAY = 5
/** Interval at which unchanged reports are sent again, ms, in case one was lost. */
const REPORT_PERIOD = 1_000
/** How often an unchanged empty report is sent: twice in case one is lost, then no more, since most daemons are idle. */
const MAX_EMPTY_REPORTS = 2

interface LoadReporterOptions {
  readonly clock: Clock
  readonly loads: Pick<ServerLoads, 'ownCounts' | 'outcomes' | 'intervals'>
  readonly map: Pick<SlotMap, 'findBrokerForServer'>
  /** Sends a broker its report, which includes the broker's changes up to sequence number `seen`, and what was observed since the last. */
  readonly send: (broker: string, report: LoadReport, seen: number, observed: ObservedReport) => void
}

/** How a daemon's requests ended at a broker's servers, and the intervals between their events. */
interface ObservedReport { readonly outcomes: OutcomeReport, readonly paces: PaceReport }

/** The last report sent to a broker, its time, and how many times in succession it was sent. */
interface SentReport { readonly text: string, readonly at: number, readonly times: number }

/** Sends each broker this daemon's in-flight counts at its servers: soon after a request ends, and once a second while not empty. */
export class LoadReporter {
  /** Sequence number of the last change received, by broker. */
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

  /** Records the sequence number of a change received from a broker. */
  recordSeen (broker: string, sequence: number): void {
    this.seen.set(broker, sequence)
  }

  /** Schedules a report after a request ended or a grant went unused. */
  reportSoon (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    this.options.clock.after(REPORT_DELAY, () => {
      this.isScheduled = false
      this.reportAll(Infinity)
    })
  }

  /** Sends the reports that have changed or were last sent at least `age` ms ago. */
  private reportAll (age: number): void {
    const { clock, loads, map, send } = this.options
    const now = clock.now()
    const findBroker = (server: string): string | undefined => map.findBrokerForServer(server)
    const outcomes = loads.outcomes.takeReports(findBroker)
    const paces = loads.intervals.takeReports(findBroker)
    for (const [broker, report] of this.buildReports()) {
      const seen = this.seen.get(broker) ?? 0
      const observed = { outcomes: outcomes.get(broker) ?? [], paces: paces.get(broker) ?? [] }
      const text = JSON.stringify([report, seen])
      const last = this.sent.get(broker)
      const times = last?.text === text ? last.times : 0
      if (last !== undefined && times > 0 && observed.outcomes.length + observed.paces.length === 0 && (now < last.at + age || (report.length === 0 && times >= MAX_EMPTY_REPORTS))) continue
      this.sent.set(broker, { text, at: now, times: times + 1 })
      send(broker, report, seen, observed)
    }
  }

  /** Builds the report of each broker, empty ones included for brokers that were sent one or made a grant. */
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
