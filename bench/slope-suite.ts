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

/** What each line moves. */
const VARIED: Readonly<Record<string, keyof SlopeStep>> = { daemons: 'daemons', servers: 'servers', requests: 'rate', tokens: 'tokens', jobs: 'jobs', items: 'itemsPerJob', callers: 'callers' }

interface SlopeOptions {
  readonly lines?: readonly string[]
  /** Only the steps of these sizes of what their line moves; all where it is left out. */
  readonly sizes?: readonly number[]
  /** How often each step is run. */
  readonly runs?: number
}

/** Runs the steps of the lines named, or of all. */
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
