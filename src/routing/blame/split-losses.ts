import type { PartLoss } from './part-loss.js'
import type { ServerPartLoss } from './server-part-loss.js'

/** Splits a part's losses into the reports of the daemons that had runs there. */
export function splitLosses (part: string, losses: readonly PartLoss[]): readonly ServerPartLoss[] {
  return losses.flatMap(({ server, at, first, began, runs, ids, beside }) => [...runs].map(([daemon, count]) => ({ server, at, daemon, id: ids?.get(daemon), runs: Array.from({ length: count }, (_, i) => ({ parts: [part, ...beside], began: i > 0 ? first : began })) })))
}
