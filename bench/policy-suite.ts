import { policies } from './policies.js'
import type { PolicyReport } from './policy-report.js'
import type { PolicyResult } from './policy-result.js'
import { runPolicy } from './run-policy.js'
import type { Site } from './site.js'

/**
 * Runs the policies of the given letters at a site; (a), which the others are measured against, must be among them,
 * under the same work and seed, one after another.
 */
export async function runPolicySuite (site: Site, say: (sentence: string) => void, letters = 'abcde'): Promise<PolicyReport> {
  const full = await runPolicy(site, policies.find(({ letter }) => letter === 'b')!, { online: false })
  say(`${site.name}: batch alone gives ${full.batchRate.toFixed(0)} tokens a second`)
  const results: PolicyResult[] = []
  for (const policy of policies.filter(({ letter }) => letters.includes(letter))) {
    const result = await runPolicy(site, policy)
    results.push(result)
    say(`${site.name} (${policy.letter}) ${policy.name}: ${showResult(result)}`)
  }
  const alone = results.find(({ letter }) => letter === 'a')!
  return {
    site: site.name,
    fullBatchRate: full.batchRate,
    idleCapacity: full.batchRate * alone.idleShare,
    spareCapacity: full.batchRate - alone.work.onlineTokens / alone.seconds,
    results
  }
}

function showResult ({ load, batchRate, work }: PolicyResult): string {
  const { firstToken, betweenTokens } = load
  return `first token p50 ${firstToken.p50.toFixed(0)} p99 ${firstToken.p99.toFixed(0)} p99.9 ${firstToken.p999.toFixed(0)} ms, ` +
    `between tokens p50 ${betweenTokens.p50.toFixed(1)} p99 ${betweenTokens.p99.toFixed(1)} ms, batch ${batchRate.toFixed(0)} tokens/s, ` +
    `${work.wastedTokens} thrown away, answered ${load.answered} of ${load.asked}, refused ${JSON.stringify(load.refused)}, cut ${load.cut}, lost ${load.lost}`
}
