import type { LoadOutcome } from '../src/load/load-outcome.js'
import type { PolicyResult } from './policy-result.js'

/** One repeat of a policy, with the outcome of each online request. */
export interface PolicyRunResult extends Omit<PolicyResult, 'load'> {
  readonly outcomes: readonly LoadOutcome[]
}
