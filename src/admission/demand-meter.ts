import type { PoolDemand } from './pool-demand.js'

/** Of what was newly asked in a period, what goes into the rate. */
const SMOOTHING = 0.3
/** Callers told of by name; the others are summed. */
const MAX_NAMED_CALLERS = 16

/** Places below which a caller asks for nothing. */
const MIN_SLOTS = 0.01

interface CallerDemand { share: number, count: number, rate: number, waiting: number }

/** How many requests each caller sends through one daemon to one pool, refused ones too: what it would use. */
export class DemandMeter {
  private readonly callers = new Map<string, CallerDemand>()

  count (caller: string, share: number): void {
    const asked = this.callers.get(caller) ?? { share, count: 0, rate: 0, waiting: 0 }
    asked.count++
    asked.share = share
    this.callers.set(caller, asked)
  }

  /**
   * Ends a period of `period` ms; gives the places wanted by those who want most: what they ask, each held for `hold` ms
   * (Little's law), and what waits. Callers that send the next request once the last is answered ask for no more than
   * they get, and would be given no more; what they have waiting shows that they want it.
   */
  read (period: number, holdTime: number, waiting: ReadonlyMap<string, number> = new Map()): PoolDemand {
    for (const [caller, asked] of this.callers) {
      asked.rate += (asked.count / period - asked.rate) * SMOOTHING
      asked.waiting += ((waiting.get(caller) ?? 0) - asked.waiting) * SMOOTHING
      asked.count = 0
      if (asked.rate * holdTime + asked.waiting < MIN_SLOTS) this.callers.delete(caller)
    }
    const all = [...this.callers].map(([caller, { share, rate, waiting }]) => ({ caller, share, slots: rate * holdTime + waiting }))
    all.sort((a, b) => b.slots - a.slots)
    const named = all.slice(0, MAX_NAMED_CALLERS).map(({ caller, share, slots }) => [caller, { share, slots }] as const)
    const rest = all.slice(MAX_NAMED_CALLERS).reduce((sum, { share, slots }) => ({ share: sum.share + share, slots: sum.slots + slots }), { share: 0, slots: 0 })
    return new Map(rest.slots > 0 ? [...named, ['', rest] as const] : named)
  }
}
