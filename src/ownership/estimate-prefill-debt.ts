import type { BatchAdmissionState } from './batch-admission-state.js'

/** Squared tokens of prompts that a server pays off in a ms: the most that holds the bound with prompts of 300 tokens. */
const DRAIN_RATE = 350

/**
 * What the prompts of batch items that were started still owe at `now`. An item owes its prompt's square: the step that
 * prefills it is longer in proportion to the prompt, and an online request is both likelier to meet it and later by it.
 */
export function estimatePrefillDebt ({ debt, debtAt }: Pick<BatchAdmissionState, 'debt' | 'debtAt'>, now: number): number {
  return Math.max(0, debt - DRAIN_RATE * (now - debtAt))
}
