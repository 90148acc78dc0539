import type { ServerLoss } from './server-loss.js'
import type { Suspect } from './suspect.js'
import type { SuspectRecord } from './suspect-record.js'

/** Builds the message form of a suspect at `now`, monotonic ms. */
export function encodeSuspect (fingerprint: string, { losses, clearedLosses, releasedLosses, passes }: Suspect, now: number): SuspectRecord {
  const encode = (all: readonly ServerLoss[]): SuspectRecord['losses'] => all.map(({ server, at }) => ({ server, ago: Math.round(now - at) }))
  return { fingerprint, losses: encode(losses), cleared: encode(clearedLosses), released: encode(releasedLosses), passes }
}
