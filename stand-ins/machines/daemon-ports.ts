/** Ports of one daemon on loopback: for requests, readiness checks, other daemons, address lookups and metrics. */
export interface DaemonPorts {
  readonly front: number
  readonly readiness: number
  readonly control: number
  readonly directory: number
  readonly metrics: number
}
