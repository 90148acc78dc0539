import type { SlopeStep } from './slope-step.js'

/** Resource usage in one step: per daemon (means over the daemons), and platform calls per second of the whole fleet. */
export interface SlopeResult extends SlopeStep {
  readonly seconds: number
  /** CPU usage as a share of one core. */
  readonly core: number
  readonly residentMb: number
  readonly heapMb: number
  /** Bytes per second sent to peers, by type of message. */
  readonly peerBytes: Readonly<Record<string, number>>
  readonly platformReads: number
  readonly platformWrites: number
  readonly platformWatches: number
  /** Calls per second of the whole fleet, by kind. */
  readonly platformCalls: Readonly<Record<string, number>>
  readonly answered: number
  readonly itemsDone: number
}
