import type { ManifestChange } from './manifest-change.js'

/** The accepted configuration as the platform keeps it, in the object `configuration/manifest`; its version is the object's. */
export interface Manifest {
  readonly format: 1
  /** Hashes of the packs, in the order of their files' names; each is the object `configuration-pack/HASH`. */
  readonly packs: readonly string[]
  /** The newest changes, the latest last. */
  readonly changes: readonly ManifestChange[]
  /** Wall-clock ms at which packs out of use were last looked for. */
  readonly swept: number
}
