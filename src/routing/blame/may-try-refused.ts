import type { PartEvidence } from './part-evidence.js'

/** How long after its refusal items may try a part, ms, and up to how long after it runs may begin that count as in flight then. */
const TRY_AFTER = 10_000
const IN_FLIGHT_TIME = 1_000
/** Losses from which items don't try a refused part: a sixth server must not be lost to it. */
const MAX_LOSSES_TO_TRY = 5

/** Whether items may try a refused part that cost few servers, one at a time: some time after its refusal, until a run that began since is lost with its server. */
export function mayTryRefused ({ refusedAt = Infinity, losses }: Pick<PartEvidence, 'refusedAt' | 'losses'>, now: number): boolean {
  return now >= refusedAt + TRY_AFTER && losses.length < MAX_LOSSES_TO_TRY && losses.every(({ began }) => began <= refusedAt + IN_FLIGHT_TIME)
}
