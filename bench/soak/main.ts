import { runSeeds } from '../run-seeds.js'
import { checkRecord } from './check-record.js'
import { planTroubles } from './plan-troubles.js'
import { runSoak } from './run-soak.js'
import type { SoakRecord } from './soak-record.js'

const USAGE = `npm run soak -- [--seed N] [--count N]
  runs the daemons of the users' machines as processes on loopback, brings troubles on them, their store, their servers and
  the ways between, and checks what callers and servers see; exit 1 when a promise is broken. What was seen is kept in
  bench/out/soak-SEED.json, and the daemons' logs of a seed that broke one in bench/out/soak-SEED.log`

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
