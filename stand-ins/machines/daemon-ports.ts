/** Ports of one daemon on loopback: for requests, the question whether it is ready, other daemons, addresses, and metrics. */
export interface DaemonPorts {
  readonly front: number
  readonly readiness: number
  readonly control: number
  readonly directory: number
  readonly metrics: number
}
