import type { PartLoss } from './part-loss.js'

/**
 * Counts the losses that followed one another: each run began after the loss before it was known. Servers that end at one moment for
 * another reason count as one loss, however many requests with the part they ran.
 */
export function countSequential (losses: readonly PartLoss[]): number {
  let count = 0
  let last = -Infinity
  for (const { at, began } of [...losses].sort((a, b) => a.at - b.at)) {
    if (began < last) continue
    count++
    last = at
  }
  return count
}
