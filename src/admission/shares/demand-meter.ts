import type { PoolDemand } from './pool-demand.js'

/** Weight of the last period in the smoothed values. */
const SMOOTHING = 0.3
/** Callers reported by name; the others are summed. */
const MAX_NAMED_CALLERS = 16

/** Demand in slots below which a caller is dropped. */
const MIN_SLOTS = 0.01

interface CallerDemand { share: number, count: number, rate: number, waiting: number }

/** Estimates the demand of each caller for one pool at one daemon, including refused requests. */
export class DemandMeter {
  private readonly callers = new Map<string, CallerDemand>()

  count (caller: string, share: number): void {
    const demand = this.callers.get(caller) ?? { share, count: 0, rate: 0, waiting: 0 }
    demand.count++
    demand.share = share
    this.callers.set(caller, demand)
  }

  /**
   * Ends a period of `period` ms and returns the demand in slots, of the callers with the highest demand by name. It is the
   * rate of requests times `holdTime` ms (Little's law), plus the requests waiting. These are included because a caller that
   * sends its next request only after an answer never requests more than it is given.
   */
  read (period: number, holdTime: number, waiting: ReadonlyMap<string, number> = new Map()): PoolDemand {
    for (const [caller, demand] of this.callers) {
      demand.rate += (demand.count / period - demand.rate) * SMOOTHING
      demand.waiting += ((waiting.get(caller) ?? 0) - demand.waiting) * SMOOTHING
      demand.count = 0
      if (demand.rate * holdTime + demand.waiting < MIN_SLOTS) this.callers.delete(caller)
    }
    const all = [...this.callers].map(([caller, { share, rate, waiting }]) => ({ caller, share, slots: rate * holdTime + waiting }))
    all.sort((a, b) => b.slots - a.slots)
    const named = all.slice(0, MAX_NAMED_CALLERS).map(({ caller, share, slots }) => [caller, { share, slots }] as const)
    const rest = all.slice(MAX_NAMED_CALLERS).reduce((sum, { share, slots }) => ({ share: sum.share + share, slots: sum.slots + slots }), { share: 0, slots: 0 })
    return new Map(rest.slots > 0 ? [...named, ['', rest] as const] : named)
  }
}
