import type { SlopeStep } from './slope-step.js'

/** What one step cost each daemon (means over the daemons) and the platform (a second, over the whole fleet). */
export interface SlopeResult extends SlopeStep {
  readonly seconds: number
  /** Share of a core. */
  readonly core: number
  readonly residentMb: number
  readonly heapMb: number
  /** Bytes a second sent to peers, by type of message. */
  readonly peerBytes: Readonly<Record<string, number>>
  readonly platformReads: number
  readonly platformWrites: number
  readonly platformWatches: number
  /** Calls a second over the fleet, by what they were for. */
  readonly platformCalls: Readonly<Record<string, number>>
  readonly answered: number
  readonly itemsDone: number
}
