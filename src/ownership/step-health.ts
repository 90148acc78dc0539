import type { HealthState } from './health-state.js'

/** Checks in a row that must fail: one lost answer doesn't take a server out. */
const FAILURES_TO_DOWN = 3

/** The next state after one health check. One success opens a server again; a check that came late tells nothing. */
export function stepHealth ({ state, failures }: HealthState, event: 'passed' | 'failed' | 'late'): HealthState {
  switch (event) {
    case 'passed': return { state: 'open', failures: 0 }
    case 'failed': return { state: failures + 1 >= FAILURES_TO_DOWN ? 'down' : state, failures: failures + 1 }
    case 'late': return { state, failures }
  }
}
