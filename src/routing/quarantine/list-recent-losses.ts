import type { QuarantineState } from './quarantine-state.js'

/** Time within which some daemons may not have received a loss yet, ms. */
const RECENT_PERIOD = 5_000

interface RecentLosses {
  /** Recently accused fingerprints, each with the server of its last loss. */
  readonly suspects: readonly { readonly fingerprint: string, readonly server: string, /** Time since the loss, ms. */ readonly ago: number }[]
  /** Recently lost servers. */
  readonly servers: readonly string[]
}

/** Lists the losses and suspects that are too recent for all daemons to know of them. */
export function listRecentLosses ({ suspects, lost }: QuarantineState, now: number): RecentLosses {
  return {
    suspects: [...suspects].flatMap(([fingerprint, { losses }]) => {
      const last = losses.at(-1)
      return last !== undefined && now - last.at < RECENT_PERIOD ? [{ fingerprint, server: last.server, ago: now - last.at }] : []
    }),
    servers: [...lost].flatMap(([server, at]) => now - at < RECENT_PERIOD ? [server] : [])
  }
}
