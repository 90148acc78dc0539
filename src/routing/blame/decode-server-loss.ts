import type { ServerPartLoss } from './server-part-loss.js'

/** Reads the message form of a server's loss at `now`, monotonic ms; undefined if it isn't one. */
export function decodeServerLoss ({ server, daemon, id, ago, runs }: Readonly<Record<string, unknown>>, now: number): ServerPartLoss | undefined {
  if (typeof server !== 'string' || typeof daemon !== 'string' || typeof ago !== 'number' || !Number.isFinite(ago) || !Array.isArray(runs)) return undefined
  const decoded = runs.flatMap(run => Array.isArray(run?.parts) && Number.isFinite(run.ago) ? [{ parts: run.parts.map(String), began: now - run.ago }] : [])
  return decoded.length < runs.length ? undefined : { server, at: now - ago, daemon, ...typeof id === 'number' && { id }, runs: decoded }
}
