import type { Fleet } from '../harness/fleet.js'
import { readMetrics } from './read-metrics.js'

/** Counts, by cause and over all daemons, the batch starts that admission allowed but that did not happen. */
export async function countMissedStarts (fleet: Fleet): Promise<Readonly<Record<string, number>>> {
  const samples = (await Promise.all(fleet.daemons.map(async daemon => await readMetrics(fleet.url(daemon))))).flat()
  const counts: Record<string, number> = {}
  for (const { name, labels, value } of samples) {
    if (name !== 'batch_starts_missed_total') continue
    const why = /why="([^"]*)"/.exec(labels)?.[1] ?? ''
    counts[why] = (counts[why] ?? 0) + value
  }
  return counts
}
