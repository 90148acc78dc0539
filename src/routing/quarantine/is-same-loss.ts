import type { ServerLoss } from './server-loss.js'

/** Losses of one server within this time (ms) count as one, as several daemons report the same exit. */
const SAME_LOSS_WINDOW = 5_000

/** Whether two reports are about the same exit of a server's process. */
export function isSameLoss (a: ServerLoss, b: ServerLoss): boolean {
  return a.server === b.server && Math.abs(a.at - b.at) < SAME_LOSS_WINDOW
}
