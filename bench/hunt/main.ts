import { runSeeds } from '../run-seeds.js'
import { checkGuarantees } from './check-guarantees.js'
import { planTroubles } from './plan-troubles.js'
import { runHunt } from './run-hunt.js'

const USAGE = `npm run hunt -- [--seed N] [--count N]
  applies two to four random faults to a fleet under load and checks every guarantee against the servers' own logs;
  exits with 1 when one is violated. Writes the record to bench/out/hunt-SEED.json`

function showTroubles (seed: number): string {
  return planTroubles(seed).map(({ at, type, ...more }) => `${type} ${JSON.stringify(more)} at ${at} ms`).join(', ')
}

function showCounts ({ sends, runs, jobs }: Awaited<ReturnType<typeof runHunt>>): string {
  const counts = ['answered', 'refused', 'cut', 'no answer'].map(outcome => `${sends.filter(send => send.outcome === outcome).length} ${outcome}`)
  return `${sends.length} sends (${counts.join(', ')}), ${runs.length} runs, ${jobs.map(({ reads }) => reads).join(' + ')} reads of results`
}

runSeeds({
  name: 'hunt',
  usage: USAGE,
  run: async seed => {
    const record = await runHunt(seed)
    return {
      findings: checkGuarantees(record),
      kept: { troubles: planTroubles(seed), record },
      summary: `${showTroubles(seed)}; ${showCounts(record)}`
    }
  }
})
