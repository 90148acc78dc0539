import type { Suspect } from './suspect.js'

/** Where each exchange is in flight, and what is held against fingerprints. Times in monotonic ms. */
export interface QuarantineState {
  /** By exchange. */
  readonly inFlight: ReadonlyMap<number, { readonly fingerprint: string, readonly server: string, readonly began: number }>
  /** By fingerprint. */
  readonly suspects: ReadonlyMap<string, Suspect>
  /** By server: the first word of its last loss. */
  readonly lost: ReadonlyMap<string, number>
}
