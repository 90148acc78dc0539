/** A change of the folder, made from the version `basedOn`. */
export interface FolderChange {
  readonly basedOn: number
  /** Texts of files that are new or differ, by name. */
  readonly put: Readonly<Record<string, string>>
  readonly remove: readonly string[]
  readonly by: string
}
