import type { Clock } from '../../kernel/clock.js'
import type { Random } from '../../kernel/random.js'
import type { FleetBroadcast } from '../../peers/fleet-broadcast.js'
import type { BlameLedger } from './blame-ledger.js'

/** Longest delay before a daemon tells its passes, ms: those that others have told meanwhile suffice. */
const PASSES_DELAY = 60
/** Known passes for each loss from which a daemon needn't tell its own, and the interval between two messages about a part, ms. */
const ENOUGH_PASSES = 20
const PASSES_INTERVAL = 1_000
/** Time in flight from which a daemon tells it, though no run with the part has passed there, ms. */
const MIN_TIME = 1_000
/** Number of parts from which those told about longer ago than the interval are forgotten. */
const MAX_PARTS = 4_000

interface PassReporterOptions {
  readonly ledger: BlameLedger
  readonly broadcast: Pick<FleetBroadcast, 'broadcast'>
  readonly clock: Clock
  readonly random: Random
  readonly instance: string
}

/** Tells the other daemons how often parts passed here, and how long runs with them were in flight, unless others have told enough. */
export class PassReporter {
  private readonly toldAt = new Map<string, number>()

  constructor (private readonly options: PassReporterOptions) {}

  report (parts: readonly string[]): void {
    const { ledger, clock, random } = this.options
    const now = clock.now()
    const own = parts.filter(part => (ledger.passes.get(part, now) > 0 || ledger.times.get(part, now) >= MIN_TIME) && now >= (this.toldAt.get(part) ?? -Infinity) + PASSES_INTERVAL)
    if (own.length === 0) return
    for (const part of own) this.toldAt.set(part, now)
    clock.after(random.next() * PASSES_DELAY, () => this.send(own, now))
    if (this.toldAt.size > MAX_PARTS) for (const [part, at] of this.toldAt) if (now >= at + PASSES_INTERVAL) this.toldAt.delete(part)
  }

  /** Lets the part's passes be told again at once. */
  forget (part: string): void {
    this.toldAt.delete(part)
  }

  /** Describes how often the parts passed here and how long runs with them were in flight, as told to other daemons. */
  describe (parts: readonly string[]): Readonly<Record<string, unknown>> {
    const { ledger, clock, instance } = this.options
    const now = clock.now()
    const passes = Object.fromEntries(parts.map(part => [part, ledger.passes.get(part, now)]))
    const times = Object.fromEntries(parts.map(part => [part, Math.round(ledger.times.get(part, now))]))
    return { daemon: instance, passes, total: ledger.passes.total(now), times, time: Math.round(ledger.times.total(now)) }
  }

  private send (parts: readonly string[], askedAt: number): void {
    const { ledger, broadcast } = this.options
    const needed = parts.filter(part => ledger.countPasses(part, askedAt) - ledger.passes.get(part, askedAt) < ENOUGH_PASSES * (1 + ledger.listLosses(part).length))
    if (needed.length > 0) broadcast.broadcast({ type: 'part passes', ...this.describe(needed) }, `part passes ${needed.join()}`)
  }
}
