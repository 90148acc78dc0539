/** One instance in the platform's list. Instances of the pool `entry` run daemons; the others are backend servers of their pool. */
export interface Instance {
  readonly name: string
  readonly pool: string
  readonly host: string
  readonly port: number
  /** Port for other daemons; on entry instances only. */
  readonly peerPort?: number
  readonly failureDomain: string
  readonly region: string
  readonly state: 'live' | 'leaving'
  /** Version of a backend server's software; undefined where the platform lists none or an invalid one. */
  readonly version?: string
  /** Requests that a backend server runs concurrently; undefined where the platform doesn't list it. */
  readonly slots?: number
  /** Start of a backend server's process, Unix ms; undefined where the platform doesn't list it. It may start again under its name. */
  readonly startedAt?: number
  /** Processor time of an entry instance's daemon, in cores; undefined if its settings don't specify it. */
  readonly cores?: number
}
