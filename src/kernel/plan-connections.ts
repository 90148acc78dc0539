/** Descriptors of an instance whose settings don't state them, and those that files and the system's own calls may need. */
const DEFAULT_DESCRIPTORS = 4_096
const RESERVED = 200
/** Shares of the others for callers, for each other HTTP server of a daemon, and for peers that have not authenticated; the rest is for outgoing connections. */
const CALLERS = 1 / 2
const SERVER = 1 / 20
const PEERS = 1 / 10

interface ConnectionPlan {
  /** Most connections of callers, of each other HTTP server, and of peers that have not authenticated. */
  readonly callers: number
  readonly server: number
  readonly peers: number
}

/**
 * Plans how many connections a process accepts at each of its servers, so that descriptors are left for those that it opens itself.
 *
 * @example
 * planConnections(4_100).callers // 1950
 */
export function planConnections (descriptors = DEFAULT_DESCRIPTORS): ConnectionPlan {
  const usable = Math.max(RESERVED, descriptors - RESERVED)
  return { callers: Math.floor(usable * CALLERS), server: Math.floor(usable * SERVER), peers: Math.floor(usable * PEERS) }
}
