/** An accepted change in the manifest's history. */
export interface ManifestChange {
  /** Unique id, by which the writer can find the change if the reply to the swap was lost. */
  readonly id: string
  /** The version that was changed; the resulting version is the `basedOn` of the next change, or the current version. */
  readonly basedOn: number
  /** Wall-clock ms. */
  readonly at: number
  /** Author as stated in the request; only the operators' token is verified. */
  readonly by: string
  /** Names of the first few changed files; `more` is the number of the others. */
  readonly files: readonly string[]
  readonly more: number
}
