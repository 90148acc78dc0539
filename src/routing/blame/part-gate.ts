import type { Refusal } from '../../admission/refusal.js'
import type { Clock } from '../../kernel/clock.js'
import { pauseFor } from '../../kernel/pause-for.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import type { PartBlame } from './part-blame.js'

/** Longest wait for the trial of a part by another request, after which a request that is only suspect runs, and the interval of checks, ms. */
const MAX_WAIT = 2_000
const RECHECK = 50

interface PartGateOptions {
  readonly parts: readonly string[]
  readonly fingerprint: string
  readonly blame: Pick<PartBlame, 'check' | 'explainsLosses'>
  readonly quarantine: Pick<Quarantine, 'check' | 'listLostServers'>
  readonly clock: Clock
  readonly signal: AbortSignal
  readonly refuse: (detail: string) => Refusal
}

/** Holds a request back that is blamed for the loss of servers, by what it shares with others or as a whole. */
export class PartGate {
  /** Whether it has waited long enough for the trials of others. */
  private hasWaited = false

  constructor (private readonly options: PartGateOptions) {}

  /** Waits while another request tries a part that this one has. Returns a refusal if it is blamed. */
  async wait (): Promise<Refusal | undefined> {
    const { clock, signal } = this.options
    for (const end = clock.now() + MAX_WAIT; ;) {
      const found = this.check()
      if (found !== 'wait') return found ?? this.findQuarantine()
      this.hasWaited = clock.now() >= end || signal.aborted
      if (this.hasWaited) return this.findQuarantine()
      await pauseFor(clock, RECHECK)
    }
  }

  /** Returns a refusal, 'wait', or undefined if the request may run now. */
  check (): Refusal | 'wait' | undefined {
    const { blame, parts, refuse } = this.options
    const decision = blame.check(parts)
    if (decision.type !== 'refused') return decision.type === 'wait' && !this.hasWaited ? 'wait' : undefined
    return { ...refuse(`part ${decision.part} of the prompt crashes the servers that run it`), retryAfter: decision.left, part: decision.part }
  }

  private findQuarantine (): Refusal | undefined {
    const { blame, quarantine, fingerprint, parts, refuse } = this.options
    const isQuarantined = quarantine.check(fingerprint) === 'quarantined' && !blame.explainsLosses(quarantine.listLostServers(fingerprint), parts)
    return isQuarantined ? refuse('the servers that ran this request ended') : undefined
  }
}
