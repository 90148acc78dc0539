/** One instance in the platform's list. `entry` instances run daemons; the others serve the named pool. */
export interface Instance {
  readonly name: string
  readonly pool: string
  readonly host: string
  readonly port: number
  /** Port for daemons, on entry instances. */
  readonly peerPort?: number
  readonly failureDomain: string
  readonly region: string
  readonly state: 'live' | 'leaving'
  /** Requests that a backend server runs at once, where the platform tells. */
  readonly slots?: number
}
