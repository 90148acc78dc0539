import type { PartLoss } from './part-loss.js'

/** Reports of one server within this time are of the same exit, ms: shorter than a server takes to be back under its id. */
const SAME_EXIT_TIME = 1_500

/** Whether two reports are of the same exit of a server. */
export function isSameExit (a: Pick<PartLoss, 'server' | 'at'>, b: Pick<PartLoss, 'server' | 'at'>): boolean {
  return a.server === b.server && Math.abs(a.at - b.at) < SAME_EXIT_TIME
}
