/** One accepted change, as the manifest's history keeps it. */
export interface ManifestChange {
  /** Unique, so that its author finds it again when the reply to the swap was lost. */
  readonly id: string
  /** The version it was made from; the one it became is the next change's `basedOn`, or the present version. */
  readonly basedOn: number
  /** Wall-clock ms. */
  readonly at: number
  /** Who said to have made it. It is a claim, not proved beyond the operators' token. */
  readonly by: string
  /** Names of changed files, the first few of them, and how many more there were. */
  readonly files: readonly string[]
  readonly more: number
}
