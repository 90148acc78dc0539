import type { Fleet } from '../harness/fleet.js'
import type { RunRecord } from '../stand-ins/engine/run-record.js'
import type { EngineWork } from './engine-work.js'

const ONLINE_PREFIX = 'load-'

/** Sums the logs of all engines that answer, without runs that began before `since` (wall-clock ms). */
export async function readEngineWork (fleet: Fleet, since: number): Promise<EngineWork> {
  const logs = await Promise.all(fleet.servers.map(async server => await fleet.readLog(server).catch(() => [])))
  const runs = logs.flat().filter(({ at }) => at >= since)
  const online = runs.filter(({ requestId }) => requestId.startsWith(ONLINE_PREFIX))
  const batch = runs.filter(({ requestId }) => !requestId.startsWith(ONLINE_PREFIX))
  return {
    onlineRuns: online.length,
    onlineTokens: addTokens(online),
    batchRuns: batch.length,
    batchTokens: addTokens(batch),
    batchFinished: batch.filter(({ outcome }) => outcome === 'finished').length,
    wastedTokens: addTokens(batch) - countUsedTokens(batch)
  }
}

/** Sums the progress of all items: from the earliest token that a run resumed from to the furthest token reached. */
function countUsedTokens (batch: readonly RunRecord[]): number {
  const items = new Map<string, { from: number, to: number }>()
  for (const { requestId, body, tokens = 0 } of batch) {
    const resumedFrom = JSON.parse(body).resume_from?.length ?? 0
    const { from, to } = items.get(requestId) ?? { from: resumedFrom, to: resumedFrom }
    items.set(requestId, { from: Math.min(from, resumedFrom), to: Math.max(to, resumedFrom + tokens) })
  }
  return [...items.values()].reduce((sum, { from, to }) => sum + to - from, 0)
}

function addTokens (runs: readonly RunRecord[]): number {
  return runs.reduce((sum, { tokens = 0 }) => sum + tokens, 0)
}
