import type { OutlierState } from './outlier-state.js'
import type { ServerOutcome } from './server-outcome.js'
import { stepOutlier } from './step-outlier.js'

/** Share of a group's servers that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5
/** How long after the end of an ejection only requests that may run elsewhere are probes, ms. */
const REPEATABLE_ONLY_FOR = 3_000

/**
 * How long after the end of an ejection items are probes too, ms. Online requests come first while there are any; with jobs alone
 * nothing else would find out that the server answers again.
 */
const ITEMS_PROBE_AFTER = 2_000

/** Whether a server gets requests: all, none, or one at a time as a probe. */
type Standing = 'open' | 'ejected' | 'probed by repeatable' | 'probed'

/** Decides which servers of one group a broker leaves out because they fail requests that other servers answer. */
export class OutlierDetector {
  private readonly states = new Map<string, OutlierState>()

  /** Records an outcome at one of the group's `servers`; returns the change that it causes, if any. */
  record (server: string, outcome: ServerOutcome, servers: readonly string[]): 'ejected' | 'restored' | undefined {
    this.keep(servers)
    const previous = this.states.get(server)
    const others = servers.filter(name => name !== server)
    const next = stepOutlier(previous, outcome, { othersRatio: this.findFailureRatio(others), mayEject: this.countEjected(others) + 1 <= servers.length * MAX_EJECTED_SHARE })
    this.states.set(server, next)
    const [before, after] = [previous?.ejections ?? 0, next.ejections]
    if (after > before) return 'ejected'
    return after < before ? 'restored' : undefined
  }

  /** Records how an item ended at a server that items probe. Other items decide nothing: they may fail by their own fault. */
  recordItem (server: string, outcome: ServerOutcome, servers: readonly string[]): 'ejected' | 'restored' | undefined {
    return this.mayItemsProbe(server, outcome.at) ? this.record(server, outcome, servers) : undefined
  }

  /** Returns whether items may probe the server, one at a time. */
  mayItemsProbe (server: string, now: number): boolean {
    const state = this.states.get(server)
    return state !== undefined && state.ejections > 0 && now >= state.ejectedUntil + ITEMS_PROBE_AFTER
  }

  /** Returns whether the server gets requests now. */
  getStanding (server: string, now: number): Standing {
    const state = this.states.get(server)
    if (state === undefined || state.ejections === 0) return 'open'
    if (now < state.ejectedUntil) return 'ejected'
    return now < state.ejectedUntil + REPEATABLE_ONLY_FOR ? 'probed by repeatable' : 'probed'
  }

  /** Forgets a server, as it has started again. */
  forget (server: string): void {
    this.states.delete(server)
  }

  /** Forgets the servers that are not among `servers`. */
  private keep (servers: readonly string[]): void {
    for (const server of this.states.keys()) if (!servers.includes(server)) this.states.delete(server)
  }

  private countEjected (servers: readonly string[]): number {
    return servers.filter(server => (this.states.get(server)?.ejections ?? 0) > 0).length
  }

  private findFailureRatio (servers: readonly string[]): number {
    const outcomes = servers.flatMap(server => this.states.get(server)?.recent ?? [])
    return outcomes.length === 0 ? 0 : outcomes.filter(({ failed }) => failed).length / outcomes.length
  }
}
