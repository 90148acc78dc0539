/** What a daemon went by when it wrote a line, as far as its log tells; `elsewhere` is what others knew better. Ages are in ms. */
export interface DecisionInputs {
  /** The configuration in force there, and for how long it was. */
  readonly configuration?: { readonly version: number, readonly age: number, readonly elsewhere?: { readonly version: number, readonly age: number } }
  /** The servers of the line as last heard. */
  readonly servers: ReadonlyArray<{ readonly server: string, readonly state: string, readonly age: number, readonly elsewhere?: { readonly state: string, readonly age: number } }>
  /** For how long the store hadn't answered. */
  readonly storeAway?: number
}
