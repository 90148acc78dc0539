import { isSameLoss } from './is-same-loss.js'
import type { ServerLoss } from './server-loss.js'
import type { Suspect } from './suspect.js'

/**
 * Merges what another daemon knows about a fingerprint: the losses of which it was cleared or released, and its passes. Its other
 * losses are accusations and count as such. Daemons that merge each other's records agree, whichever messages they missed.
 */
export function mergeSuspect (known: Suspect, received: Omit<Suspect, 'until'>): Suspect {
  const releasedLosses = mergeLosses(known.releasedLosses, received.releasedLosses)
  const clearedLosses = dropLosses(mergeLosses(known.clearedLosses, received.clearedLosses), releasedLosses)
  const losses = dropLosses(known.losses, [...releasedLosses, ...clearedLosses])
  const isSame = losses.length === received.losses.length && dropLosses(losses, received.losses).length === 0
  const own = losses.length === known.losses.length ? known.passes : 0
  return { ...known, losses, clearedLosses, releasedLosses, passes: isSame ? Math.max(own, received.passes) : own }
}

function mergeLosses (a: readonly ServerLoss[], b: readonly ServerLoss[]): readonly ServerLoss[] {
  return [...a, ...dropLosses(b, a)]
}

function dropLosses (losses: readonly ServerLoss[], dropped: readonly ServerLoss[]): readonly ServerLoss[] {
  return losses.filter(loss => !dropped.some(other => isSameLoss(other, loss)))
}
