import type { ServerLoss } from './server-loss.js'
import type { Suspect } from './suspect.js'
import type { SuspectRecord } from './suspect-record.js'

type DecodedSuspect = Omit<Suspect, 'until'> & { readonly fingerprint: string }

/** Reads the message form of a suspect at `now`, monotonic ms; undefined if it isn't one. Losses older than `keep` ms are left out. */
export function decodeSuspect (value: unknown, { now, keep }: { readonly now: number, readonly keep: number }): DecodedSuspect | undefined {
  const { fingerprint, losses, cleared, released, passes } = (value ?? {}) as Partial<SuspectRecord>
  const lists = [losses, cleared, released].map(list => decodeLosses(list, { now, keep }))
  const [ownLosses, clearedLosses, releasedLosses] = lists
  if (typeof fingerprint !== 'string' || typeof passes !== 'number' || ownLosses === undefined || clearedLosses === undefined || releasedLosses === undefined) return undefined
  return { fingerprint, losses: ownLosses, clearedLosses, releasedLosses, passes }
}

function decodeLosses (value: unknown, { now, keep }: { readonly now: number, readonly keep: number }): readonly ServerLoss[] | undefined {
  if (!Array.isArray(value) || !value.every(loss => typeof loss?.server === 'string' && Number.isFinite(loss.ago))) return undefined
  return value.filter(({ ago }) => ago < keep).map(({ server, ago }) => ({ server, at: now - ago }))
}
