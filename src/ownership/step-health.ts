import type { HealthState } from './health-state.js'

/** Checks in a row that must fail: one lost answer doesn't take a server out. */
const FAILURES_TO_DOWN = 3

/** The next state after one health check. One success opens a server again. */
export function stepHealth ({ state, failures }: HealthState, event: 'passed' | 'failed'): HealthState {
  if (event === 'passed') return { state: 'open', failures: 0 }
  return { state: failures + 1 >= FAILURES_TO_DOWN ? 'down' : state, failures: failures + 1 }
}
