import { estimateRatio } from './estimate-ratio.js'
import { listSamples } from './list-samples.js'
import { mergeResults } from './merge-results.js'
import type { OnlineSample } from './online-sample.js'
import { policies } from './policies.js'
import type { PolicyReport } from './policy-report.js'
import type { PolicyResult } from './policy-result.js'
import type { PolicyRunResult } from './policy-run-result.js'
import { runPolicy } from './run-policy.js'
import { showIdleAccount } from './show-idle-account.js'
import type { Site } from './site.js'

interface SuiteOptions {
  /** Letters of the policies; must include the reference (a). */
  readonly letters?: string
  readonly repeats?: number
}

/**
 * Runs policies at a site one after another under the same work. Repeats are interleaved, each with a seed that all
 * policies share, so that changes of the machine affect all policies alike.
 */
export async function runPolicySuite (site: Site, log: (sentence: string) => void, { letters = 'abcde', repeats = 1 }: SuiteOptions = {}): Promise<PolicyReport> {
  const full = await runPolicy(site, policies.find(({ letter }) => letter === 'b')!, { online: false })
  log(`${site.name}: batch alone gives ${full.batchRate.toFixed(0)} tokens a second`)
  const runs: PolicyRunResult[] = []
  for (let repeat = 0; repeat < repeats; repeat++) {
    const repeated = { ...site, plan: { ...site.plan, seed: site.plan.seed + repeat } }
    for (const policy of policies.filter(({ letter }) => letters.includes(letter))) {
      const run = await runPolicy(repeated, policy)
      runs.push(run)
      log(`${site.name} (${policy.letter}) ${policy.name}, repeat ${repeat}: ${showResult(mergeResults([run]))}`)
      if (policy.batchPolicy !== undefined) log(`${site.name} (${policy.letter}) where idle capacity went: ${showIdleAccount(run)}`)
    }
  }
  return buildReport(site, full.batchRate, runs)
}

function buildReport (site: Site, fullBatchRate: number, runs: readonly PolicyRunResult[]): PolicyReport {
  const byLetter = [...new Set(runs.map(({ letter }) => letter))].map(wanted => runs.filter(({ letter }) => letter === wanted))
  const results = byLetter.map(mergeResults)
  const noBatch = results.find(({ letter }) => letter === 'a')!
  const samples = (wanted: string): readonly OnlineSample[] => runs.filter(({ letter }) => letter === wanted).flatMap(({ outcomes }, repeat) => listSamples(outcomes, repeat))
  const base = samples('a')
  return {
    site: site.name,
    fullBatchRate,
    idleCapacity: fullBatchRate * noBatch.idleShare,
    spareCapacity: fullBatchRate - noBatch.work.onlineTokens / noBatch.seconds,
    results,
    repeats: byLetter.flatMap(repeats => repeats.map(run => mergeResults([run]))),
    harm: results.map(({ letter }) => ({
      letter,
      firstTokenP99: estimateRatio(samples(letter), base, { quantile: 0.99, pick: ({ firstToken }) => [firstToken] }),
      firstTokenP999: estimateRatio(samples(letter), base, { quantile: 0.999, pick: ({ firstToken }) => [firstToken] }),
      betweenTokensP99: estimateRatio(samples(letter), base, { quantile: 0.99, pick: ({ gaps }) => gaps })
    }))
  }
}

function showResult ({ load, batchRate, work }: PolicyResult): string {
  const { firstToken, betweenTokens } = load
  return `first token p50 ${firstToken.p50.toFixed(0)} p99 ${firstToken.p99.toFixed(0)} p99.9 ${firstToken.p999.toFixed(0)} ms, ` +
    `between tokens p50 ${betweenTokens.p50.toFixed(1)} p99 ${betweenTokens.p99.toFixed(1)} ms, batch ${batchRate.toFixed(0)} tokens/s, ` +
    `${work.wastedTokens} wasted, answered ${load.answered} of ${load.asked}, refused ${JSON.stringify(load.refused)}, cut ${load.cut}, lost ${load.lost}`
}
