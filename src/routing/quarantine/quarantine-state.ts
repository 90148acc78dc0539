import type { Suspect } from './suspect.js'

/** Exchanges in flight from this daemon, and the known losses of servers. Times in monotonic ms. */
export interface QuarantineState {
  /** Exchanges in flight, by number. */
  readonly inFlight: ReadonlyMap<number, { readonly fingerprint: string, readonly server: string, readonly began: number }>
  /** Suspect requests, by fingerprint. */
  readonly suspects: ReadonlyMap<string, Suspect>
  /** When the last loss of each server was first detected. */
  readonly lost: ReadonlyMap<string, number>
}
