import { mkdirSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { checkPromises } from './check-promises.js'
import { planTroubles } from './plan-troubles.js'
import { runHunt } from './run-hunt.js'

const OUT = 'bench/out'
const USAGE = `npm run hunt -- [--seed N] [--count N]
  brings random troubles, two to four at a time, on a fleet under load, and checks every promise against the servers'
  own logs; exit 1 when one is broken. What was seen is kept in ${OUT}/hunt-SEED.json`

async function runHunts (): Promise<number> {
  const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, count: { type: 'string', default: '1' }, help: { type: 'boolean', default: false } } })
  if (values.help) {
    console.log(USAGE)
    return 0
  }
  mkdirSync(OUT, { recursive: true })
  let broken = 0
  for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.count); seed++) {
    const record = await runHunt(seed)
    const findings = checkPromises(record)
    if (findings.length > 0) broken++
    writeFileSync(`${OUT}/hunt-${seed}.json`, JSON.stringify({ troubles: planTroubles(seed), findings, record }, null, 1))
    console.log(`hunt ${seed}: ${findings.length === 0 ? 'every promise held' : `${findings.length} BROKEN`}; ${showTroubles(seed)}; ${showCounts(record)}`)
    for (const finding of findings.slice(0, 12)) console.log(`  ${finding}`)
  }
  return broken > 0 ? 1 : 0
}

function showTroubles (seed: number): string {
  return planTroubles(seed).map(({ at, type, ...more }) => `${type} ${JSON.stringify(more)} at ${at} ms`).join(', ')
}

function showCounts ({ sends, runs, jobs }: Awaited<ReturnType<typeof runHunt>>): string {
  const counts = ['answered', 'refused', 'cut', 'no answer'].map(outcome => `${sends.filter(send => send.outcome === outcome).length} ${outcome}`)
  return `${sends.length} sends (${counts.join(', ')}), ${runs.length} runs, ${jobs.map(({ reads }) => reads).join(' + ')} readings of results`
}

void runHunts().then(code => process.exit(code), error => {
  console.error(error)
  process.exit(1)
})
