import type { RunRecord } from '../stand-ins/engine/run-record.js'

/** Returns the share of `[since, until]` (wall-clock ms) in which an engine with this log ran nothing. */
export function readIdleShare (runs: readonly RunRecord[], since: number, until: number): number {
  const spans = runs
    .map(({ at, endedAt = until }) => [Math.max(at, since), Math.min(endedAt, until)] as const)
    .filter(([from, to]) => to > from)
    .sort((a, b) => a[0] - b[0])
  let busy = 0
  let busyUntil = since
  for (const [from, to] of spans) {
    if (to <= busyUntil) continue
    busy += to - Math.max(from, busyUntil)
    busyUntil = to
  }
  return 1 - busy / (until - since)
}
