import { runSeeds } from '../run-seeds.js'
import { checkRecord } from './check-record.js'
import { planTroubles } from './plan-troubles.js'
import { runSoak } from './run-soak.js'
import type { SoakRecord } from './soak-record.js'

const USAGE = `npm run soak -- [--seed N] [--count N]
  runs a fleet of daemons as processes on loopback, applies random faults to them, to their store and servers and to the
  connections between them, and checks what callers and servers observe; exits with 1 when a guarantee is violated.
  Writes the record to bench/out/soak-SEED.json, and for a violation the daemons' logs to bench/out/soak-SEED.log`

function showCounts ({ requests, runs, jobs }: SoakRecord): string {
  const outcomes = ['whole', 'refused', 'failed', 'cut', 'no route', 'no connection'] as const
  return `${requests.length} requests (${outcomes.map(outcome => `${requests.filter(request => request.outcome === outcome).length} ${outcome}`).join(', ')}), ${runs.length} runs, ${jobs.filter(({ acceptedAt }) => acceptedAt !== undefined).length} of ${jobs.length} jobs accepted`
}

runSeeds({
  name: 'soak',
  usage: USAGE,
  run: async seed => {
    const { record, lines } = await runSoak(seed)
    const troubles = planTroubles(seed)
    return {
      findings: checkRecord(record),
      kept: { troubles, record },
      summary: `${troubles.map(trouble => JSON.stringify(trouble)).join(' ')}; ${showCounts(record)}`,
      lines
    }
  }
})
