import { runSlopeStep } from './run-slope-step.js'
import type { SlopeResult } from './slope-result.js'
import type { SlopeStep } from './slope-step.js'

const BASE: SlopeStep = { daemons: 6, servers: 12, rate: 0, tokens: 16, jobs: 0, itemsPerJob: 0, callers: 0 }

/** Each line moves one size and holds the others, so that its slope can be read off. */
const STEPS: Readonly<Record<string, readonly SlopeStep[]>> = {
  daemons: [2, 6, 12, 24, 48].map(daemons => ({ ...BASE, daemons })),
  servers: [12, 50, 100, 200].map(servers => ({ ...BASE, servers })),
  requests: [0, 30, 60, 120].map(rate => ({ ...BASE, rate })),
  tokens: [16, 64, 160].map(tokens => ({ ...BASE, rate: 60, tokens })),
  jobs: [1, 4, 16].map(jobs => ({ ...BASE, jobs, itemsPerJob: 200 })),
  items: [200, 800, 3_200].map(itemsPerJob => ({ ...BASE, jobs: 1, itemsPerJob })),
  callers: [0, 1_700, 6_800].map(callers => ({ ...BASE, callers }))
}

/** Runs every step of the lines named, or of all. */
export async function runSlopeSuite (say: (sentence: string) => void, lines = Object.keys(STEPS)): Promise<Readonly<Record<string, readonly SlopeResult[]>>> {
  const results: Record<string, SlopeResult[]> = {}
  for (const line of lines) {
    results[line] = []
    for (const step of STEPS[line] ?? []) {
      const result = await runSlopeStep(step)
      results[line].push(result)
      say(`slope of ${line}: ${JSON.stringify(result)}`)
    }
  }
  return results
}
