import type { QuarantineState } from './quarantine-state.js'

/** How long what is newly held against a fingerprint may still be news to others, ms. */
const RECENT = 5_000

interface RecentLosses {
  /** Fingerprints that were accused a moment ago, each with the server of its last loss. */
  readonly suspects: readonly { readonly fingerprint: string, readonly server: string, /** ms since it was lost. */ readonly ago: number }[]
  /** Servers lost a moment ago. */
  readonly servers: readonly string[]
}

/** What has come to be held so short a time ago that not all daemons may know of it. */
export function listRecentLosses ({ suspects, lost }: QuarantineState, now: number): RecentLosses {
  return {
    suspects: [...suspects].flatMap(([fingerprint, { losses }]) => {
      const last = losses.at(-1)
      return last !== undefined && now - last.at < RECENT ? [{ fingerprint, server: last.server, ago: now - last.at }] : []
    }),
    servers: [...lost].flatMap(([server, at]) => now - at < RECENT ? [server] : [])
  }
}
