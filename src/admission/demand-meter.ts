import type { PoolDemand } from './pool-demand.js'

/** Of what was newly asked in a period, what goes into the rate. */
const GAIN = 0.3
/** Callers told of by name; the others are summed. */
const MOST_CALLERS = 16

/** Places below which a caller asks for nothing. */
const FORGOTTEN = 0.01

interface Asked { share: number, count: number, rate: number, waiting: number }

/** How many requests each caller sends through one daemon to one pool, refused ones too: what it would use. */
export class DemandMeter {
  private readonly callers = new Map<string, Asked>()

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
  read (period: number, hold: number, waiting: ReadonlyMap<string, number> = new Map()): PoolDemand {
    for (const [caller, asked] of this.callers) {
      asked.rate += (asked.count / period - asked.rate) * GAIN
      asked.waiting += ((waiting.get(caller) ?? 0) - asked.waiting) * GAIN
      asked.count = 0
      if (asked.rate * hold + asked.waiting < FORGOTTEN) this.callers.delete(caller)
    }
    const all = [...this.callers].map(([caller, { share, rate, waiting }]) => ({ caller, share, places: rate * hold + waiting }))
    all.sort((a, b) => b.places - a.places)
    const named = all.slice(0, MOST_CALLERS).map(({ caller, share, places }) => [caller, { share, places }] as const)
    const rest = all.slice(MOST_CALLERS).reduce((sum, { share, places }) => ({ share: sum.share + share, places: sum.places + places }), { share: 0, places: 0 })
    return new Map(rest.places > 0 ? [...named, ['', rest] as const] : named)
  }
}
