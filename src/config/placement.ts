/** Desired state of the backend servers of a pool. */
export interface Placement {
  /** Models, adapters and versions to load, by the names that the servers use, most important first. */
  readonly models: readonly string[]
  /** Role of the servers; if omitted, each server chooses its own. */
  readonly role?: string
  /** Whether the servers refuse orders with an outdated fencing number. */
  readonly checksFencing: boolean
  /** Instance names of servers that receive no new work. */
  readonly leaving?: readonly string[]
}
