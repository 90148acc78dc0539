/** A change of the folder relative to the version `basedOn`. */
export interface FolderChange {
  readonly basedOn: number
  /** Texts of new and changed files, by name. */
  readonly put: Readonly<Record<string, string>>
  readonly remove: readonly string[]
  readonly by: string
}
