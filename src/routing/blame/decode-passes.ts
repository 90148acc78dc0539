import type { ToldPasses } from './told-passes.js'

/** Reads a daemon's message about passes; undefined if it isn't one. */
export function decodePasses ({ passes, total, times, time }: Readonly<Record<string, unknown>>): ToldPasses | undefined {
  const counts = readAmounts(passes)
  if (counts === undefined || !isAmount(total)) return undefined
  if (times === undefined) return { passes: counts, total }
  const durations = readAmounts(times)
  return durations === undefined || !isAmount(time) ? undefined : { passes: counts, total, times: durations, totalTime: time }
}

function readAmounts (value: unknown): Readonly<Record<string, number>> | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const entries = Object.entries(value)
  return entries.every(([, amount]) => isAmount(amount)) ? Object.fromEntries(entries) : undefined
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}
