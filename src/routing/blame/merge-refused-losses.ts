import { mergeLoss } from './merge-loss.js'
import type { PartLoss } from './part-loss.js'
import type { RefusedPart } from './refused-part.js'

/**
 * Adds the losses that another daemon refuses a part for. Where this daemon refuses it too (`isSame`), losses of servers that it knows aren't
 * added again: a report that arrives late tells later times.
 */
export function mergeRefusedLosses (known: readonly PartLoss[], { losses, beside }: Pick<RefusedPart, 'losses' | 'beside'>, isSame: boolean): readonly PartLoss[] {
  const added = isSame ? losses.filter(({ server }) => !known.some(loss => loss.server === server)) : losses
  return added.reduce<readonly PartLoss[]>((all, { server, at }) => mergeLoss(all, { server, at, first: at, began: at, runs: new Map(), beside }), known)
}
