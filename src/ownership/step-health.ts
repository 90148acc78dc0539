import type { HealthState } from './health-state.js'

/** Consecutive failures after which a server is down; a single lost answer has no effect. */
const FAILURES_TO_DOWN = 3

/** Returns the state after one health check. One success reopens a server; late checks are ignored. */
export function stepHealth ({ state, failures }: HealthState, event: 'passed' | 'failed' | 'late'): HealthState {
  switch (event) {
    case 'passed': return { state: 'open', failures: 0 }
    case 'failed': return { state: failures + 1 >= FAILURES_TO_DOWN ? 'down' : state, failures: failures + 1 }
    case 'late': return { state, failures }
  }
}
