import type { Clock } from '../kernel/clock.js'
import type { LoadRow } from './load-row.js'
import type { ServerLoads } from './server-loads.js'
import type { SlotMap } from './slot-map.js'

/** How long ends are gathered before a broker is told, ms. */
const TELL_DELAY = 5
/** Rows are told after this at the latest, ms, for what was lost. */
const REPEAT = 1_000
/** How often a broker is told that nothing is left: once more in case that is lost, and no more, as most daemons are at rest. */
const EMPTY_TOLD = 2

interface SlotRowsOptions {
  readonly clock: Clock
  readonly loads: Pick<ServerLoads, 'ownCounts'>
  readonly map: Pick<SlotMap, 'findBrokerOf'>
  /** Sends a broker its row, which holds all that it told this daemon up to number `seen`. */
  readonly send: (broker: string, row: LoadRow, seen: number) => void
}

/** What a broker was told last, when, and how often in a row. */
interface Told { readonly text: string, readonly at: number, readonly times: number }

/** Tells each broker what this daemon has in flight at its servers: ends within some ms, all of it once a second. */
export class SlotRows {
  /** By broker: the number of the newest change that it told this daemon. */
  private readonly seen = new Map<string, number>()
  private readonly told = new Map<string, Told>()
  private telling = false
  private cancel = (): void => {}

  constructor (private readonly options: SlotRowsOptions) {}

  start (): void {
    this.cancel = this.options.clock.every(REPEAT, () => this.tellAll(REPEAT))
  }

  stop (): void {
    this.cancel()
  }

  /** Notes that a broker's change has come. */
  noteSeen (broker: string, n: number): void {
    this.seen.set(broker, n)
  }

  /** Something ended, or a grant isn't used. */
  tellSoon (): void {
    if (this.telling) return
    this.telling = true
    this.options.clock.after(TELL_DELAY, () => {
      this.telling = false
      this.tellAll(Infinity)
    })
  }

  /** Tells each broker whose row has changed, or was last told `age` ms ago. */
  private tellAll (age: number): void {
    const now = this.options.clock.now()
    for (const [broker, row] of this.buildRows()) {
      const seen = this.seen.get(broker) ?? 0
      const text = JSON.stringify([row, seen])
      const last = this.told.get(broker)
      const times = last?.text === text ? last.times : 0
      if (last !== undefined && times > 0 && (now < last.at + age || (row.length === 0 && times >= EMPTY_TOLD))) continue
      this.told.set(broker, { text, at: now, times: times + 1 })
      this.options.send(broker, row, seen)
    }
  }

  /** A broker that was told something is told as well that nothing is left. */
  private buildRows (): ReadonlyMap<string, LoadRow> {
    const { loads, map } = this.options
    const rows = new Map<string, Array<readonly [string, number, number]>>()
    for (const broker of [...this.told.keys(), ...this.seen.keys()]) rows.set(broker, [])
    for (const [server, { online, batch }] of loads.ownCounts) {
      const broker = map.findBrokerOf(server)
      if (broker !== undefined) rows.set(broker, [...rows.get(broker) ?? [], [server, online, batch]])
    }
    return rows
  }
}
