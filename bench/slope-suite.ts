import { runSlopeStep } from './run-slope-step.js'
import type { SlopeResult } from './slope-result.js'
import type { SlopeStep } from './slope-step.js'

const BASE: SlopeStep = { daemons: 6, servers: 12, rate: 0, tokens: 16, jobs: 0, itemsPerJob: 0, callers: 0 }

/** Steps by line; each line varies one size and keeps the others, so that the cost can be related to that size. */
const STEPS: Readonly<Record<string, readonly SlopeStep[]>> = {
  daemons: [2, 6, 12, 24, 48].map(daemons => ({ ...BASE, daemons })),
  servers: [12, 50, 100, 200].map(servers => ({ ...BASE, servers })),
  requests: [0, 30, 60, 120].map(rate => ({ ...BASE, rate })),
  tokens: [16, 64, 160].map(tokens => ({ ...BASE, rate: 60, tokens })),
  jobs: [1, 4, 16].map(jobs => ({ ...BASE, jobs, itemsPerJob: 200 })),
  items: [200, 800, 3_200].map(itemsPerJob => ({ ...BASE, jobs: 1, itemsPerJob })),
  callers: [0, 1_700, 6_800].map(callers => ({ ...BASE, callers }))
}

/** The size that each line varies. */
const VARIED: Readonly<Record<string, keyof SlopeStep>> = { daemons: 'daemons', servers: 'servers', requests: 'rate', tokens: 'tokens', jobs: 'jobs', items: 'itemsPerJob', callers: 'callers' }

interface SlopeOptions {
  readonly lines?: readonly string[]
  /** Runs only the steps with these values of the varied size; all of them by default. */
  readonly sizes?: readonly number[]
  /** Number of runs of each step. */
  readonly runs?: number
}

/** Runs the steps of the given lines, or of all lines. */
export async function runSlopeSuite (log: (sentence: string) => void, { lines = Object.keys(STEPS), sizes, runs = 1 }: SlopeOptions = {}): Promise<Readonly<Record<string, readonly SlopeResult[]>>> {
  const results: Record<string, SlopeResult[]> = {}
  for (const line of lines) {
    results[line] = []
    const steps = (STEPS[line] ?? []).filter(step => sizes?.includes(step[VARIED[line]!]) ?? true)
    for (const step of steps.flatMap(step => Array.from({ length: runs }, () => step))) {
      const result = await runSlopeStep(step)
      results[line].push(result)
      log(`slope of ${line}: ${JSON.stringify(result)}`)
    }
  }
  return results
}
