import type { ManifestChange } from './manifest-change.js'

/** The accepted configuration as stored in the platform's object `configuration/manifest`, whose version is its version. */
export interface Manifest {
  readonly format: 1
  /** Hashes of the packs, in the order of their files' names; each is the object `configuration-pack/HASH`. */
  readonly packs: readonly string[]
  /** The newest changes, oldest first. */
  readonly changes: readonly ManifestChange[]
  /** Time of the last sweep of unused packs, in wall-clock ms. */
  readonly swept: number
}
