/** State that a daemon used when it wrote a line, as far as its log shows; `elsewhere` is newer state at other daemons. Ages in ms. */
export interface DecisionInputs {
  /** The configuration in force at the daemon, and for how long. */
  readonly configuration?: { readonly version: number, readonly age: number, readonly elsewhere?: { readonly version: number, readonly age: number } }
  /** Last known states of the servers that the line names. */
  readonly servers: ReadonlyArray<{ readonly server: string, readonly state: string, readonly age: number, readonly elsewhere?: { readonly state: string, readonly age: number } }>
  /** How long the store had been unavailable, ms. */
  readonly storeAway?: number
}
