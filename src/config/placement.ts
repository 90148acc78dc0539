/** What the backend servers of a pool are to have loaded and to be. */
export interface Placement {
  /** Models, adapters and versions by the names that the servers know them by, in the order of their importance. */
  readonly models: readonly string[]
  /** Role of the servers; theirs to choose where it is left out. */
  readonly role?: string
  /** Whether the servers refuse an order with an old fencing number. */
  readonly checksFencing: boolean
  /** Servers, by instance name, that are to get no new work. */
  readonly leaving?: readonly string[]
}
