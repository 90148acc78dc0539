import type { Clock } from '../kernel/clock.js'
import { failUnreachable } from '../kernel/unreachable.js'
import type { LogSink } from '../observe/log-sink.js'
import type { CandidateServer } from './candidate-server.js'
import { OutlierDetector } from './outlier-detector.js'
import { ServerPaces } from './pace/server-paces.js'
import { planBatch } from './plan-batch.js'
import type { ServerLoads } from './server-loads.js'
import type { ServerOutcome } from './server-outcome.js'
import type { SlotLedger } from './slot-ledger.js'
import type { SlotMap } from './slot-map.js'

interface SlotGroupOptions {
  readonly pool: string
  readonly group: number
  readonly clock: Clock
  readonly loads: ServerLoads
  readonly map: SlotMap
  readonly ledger: SlotLedger
  readonly log: LogSink
}

/** The servers of one group, with the counts and outcomes of all daemons, as their broker knows them. */
export class SlotGroup {
  private readonly outliers = new OutlierDetector()
  private readonly paces = new ServerPaces()

  constructor (private readonly options: SlotGroupOptions) {}

  /** Names of the group's servers. */
  get names (): readonly string[] {
    return this.options.map.listServers(this.options.pool, this.options.group)
  }

  /** Lists the servers that requests may be granted slots of, except those of `listSlow`. */
  listCandidates (): readonly CandidateServer[] {
    const { clock, loads, ledger } = this.options
    const now = clock.now()
    const unresponsive = ledger.listUnresponsive(now)
    return this.names.flatMap(name => {
      const candidate = loads.findCandidate(name)
      if (candidate === undefined) return []
      const counts = { ...candidate, ...ledger.find(name, unresponsive), ownBatch: 0 }
      const standing = this.outliers.getStanding(name, now)
      switch (standing) {
        case 'open': return this.applyPace(counts, now)
        case 'ejected': return []
        case 'probed by repeatable': return [{ ...counts, slots: 1, probe: 'repeatable' as const }]
        case 'probed': return [{ ...counts, slots: 1, probe: 'any' as const }]
        default: return failUnreachable(standing)
      }
    })
  }

  /**
   * Returns the slots that batch may take now, and the servers that have them. `countWaiting` counts the online requests that wait
   * for a server of one of the versions.
   */
  planBatch (countWaiting: (versions: ReadonlySet<string>) => number): ReturnType<typeof planBatch> {
    const now = this.options.clock.now()
    const open = this.listCandidates().filter(({ server, probe }) => probe === undefined || this.outliers.mayItemsProbe(server, now))
    const slow = this.listSlow().map(candidate => ({ ...candidate, ...this.options.ledger.find(candidate.server), slots: 1 }))
    const candidates = [...open, ...slow, ...this.listItemProbes()]
    const idle = candidates.filter(({ slots, online, batch }) => slots > online + batch)
    return planBatch(candidates, countWaiting(new Set(idle.map(({ version }) => version))))
  }

  /** Records the intervals between events that a daemon has seen at one of the servers. */
  recordPace (server: string, intervals: { readonly count: number, readonly mean: number }, now: number): void {
    const before = this.paces.find(server, now)
    for (const known of [...this.paces.servers]) if (!this.names.includes(known)) this.paces.forget(known)
    this.paces.record(server, intervals, now)
    const pace = this.paces.find(server, now)
    if (pace !== before && (pace === 'too slow' || before === 'too slow' || before === 'to be probed')) this.options.log.write('info', 'slots', 'the pace of a server changed', { server, pace, before, ...this.paces.read(server, now) })
  }

  /** Forgets how a server answered, as it has started again. */
  forget (server: string): void {
    this.outliers.forget(server)
    this.paces.forget(server)
  }

  /** Counts the servers that are too slow for online requests. */
  countSlow (): number {
    const now = this.options.clock.now()
    return this.names.filter(name => this.paces.find(name, now) !== 'usual').length
  }

  private applyPace (candidate: CandidateServer, now: number): readonly CandidateServer[] {
    const pace = this.paces.find(candidate.server, now)
    switch (pace) {
      case 'usual': return [candidate]
      case 'too slow': return []
      case 'to be probed': return [{ ...candidate, slots: 1, probe: 'any' as const }]
      default: return failUnreachable(pace)
    }
  }

  /** Lists the servers that are too slow for online requests which may run elsewhere; one item at each shows when that has passed. */
  listSlow (): readonly CandidateServer[] {
    const { clock, loads, ledger } = this.options
    const now = clock.now()
    const unresponsive = ledger.listUnresponsive(now)
    return this.names.flatMap(name => {
      const candidate = this.outliers.getStanding(name, now) === 'open' && this.paces.find(name, now) === 'too slow' ? loads.findCandidate(name) : undefined
      return candidate === undefined ? [] : [{ ...candidate, ...ledger.find(name, unresponsive), ownBatch: 0 }]
    })
  }

  /** Lists the servers that this daemon has ejected and that one item of any daemon may probe. */
  private listItemProbes (): readonly CandidateServer[] {
    const { loads, ledger } = this.options
    return this.names.flatMap(name => {
      const candidate = loads.findItemProbe(name)
      return candidate === undefined ? [] : [{ ...candidate, ...ledger.find(name), slots: 1, ownBatch: 0 }]
    })
  }

  /** Counts slots that no online request holds; batch can be preempted. */
  countFree (): number {
    return this.listCandidates().reduce((sum, { slots, online }) => sum + Math.max(0, slots - online), 0)
  }

  /** Records how a request ended at one of the servers; returns the change that it causes, if any. */
  recordOutcome (server: string, work: 'online' | 'batch', outcome: ServerOutcome): 'ejected' | 'restored' | undefined {
    switch (work) {
      case 'online': return this.outliers.record(server, outcome, this.names)
      case 'batch': return this.outliers.recordItem(server, outcome, this.names)
      default: return failUnreachable(work)
    }
  }
}
