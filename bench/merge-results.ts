import { summarizeLoad } from '../src/load/summarize-load.js'
import type { EngineWork } from './engine-work.js'
import type { PolicyResult } from './policy-result.js'
import type { PolicyRunResult } from './policy-run-result.js'

/** Merges the repeats of one policy: quantiles are over the requests of all repeats, rates are means. */
export function mergeResults (runs: readonly PolicyRunResult[]): PolicyResult {
  const { site, letter, name } = runs[0]!
  const mean = (pick: (run: PolicyRunResult) => number): number => runs.reduce((sum, run) => sum + pick(run), 0) / runs.length
  const add = (pick: keyof EngineWork): number => runs.reduce((sum, { work }) => sum + work[pick], 0)
  const missedStarts: Record<string, number> = {}
  for (const [why, count] of runs.flatMap(run => Object.entries(run.missedStarts))) missedStarts[why] = (missedStarts[why] ?? 0) + count
  return {
    site,
    letter,
    name,
    load: summarizeLoad(runs.flatMap(({ outcomes }) => outcomes)),
    work: { onlineRuns: add('onlineRuns'), onlineTokens: add('onlineTokens'), batchRuns: add('batchRuns'), batchTokens: add('batchTokens'), batchFinished: add('batchFinished'), wastedTokens: add('wastedTokens') },
    seconds: runs.reduce((sum, { seconds }) => sum + seconds, 0),
    idleShare: mean(run => run.idleShare),
    batchRate: mean(run => run.batchRate),
    itemRate: mean(run => run.itemRate),
    idleAccounts: runs.flatMap(run => run.idleAccounts),
    missedStarts
  }
}
