import type { Suspect } from './suspect.js'

/** Where each exchange is in flight, and what is held against fingerprints. */
export interface QuarantineState {
  /** By exchange. */
  readonly inFlight: ReadonlyMap<number, { readonly fingerprint: string, readonly server: string }>
  /** By fingerprint. */
  readonly suspects: ReadonlyMap<string, Suspect>
}
