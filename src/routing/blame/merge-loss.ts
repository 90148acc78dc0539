import { isSameExit } from './is-same-exit.js'
import type { PartLoss } from './part-loss.js'

/**
 * Adds a loss to a part's, or merges it with another daemon's report of the same one. Ages of runs are kept rather than their beginnings:
 * each report comes later by the time of its transport.
 */
export function mergeLoss (losses: readonly PartLoss[], loss: PartLoss): readonly PartLoss[] {
  const same = losses.find(other => isSameExit(other, loss))
  if (same === undefined) return [...losses, loss].sort((a, b) => a.at - b.at)
  const at = Math.min(same.at, loss.at)
  const first = at - Math.max(same.at - same.first, loss.at - loss.first)
  const began = at - Math.min(same.at - same.began, loss.at - loss.began)
  const merged = { ...same, at, first, began, runs: new Map([...same.runs, ...loss.runs]), ids: new Map([...same.ids ?? [], ...loss.ids ?? []]), beside: same.beside.filter(other => loss.beside.includes(other)) }
  return losses.map(other => other === same ? merged : other)
}
