import type { BatchAdmissionState } from './batch-admission-state.js'

/**
 * Squared tokens paid off per ms; it bounds the share of engine steps with a long prefill: the most that holds
 * the bound on online latency with prompts of 300 tokens.
 */
const DRAIN_RATE = 350

/**
 * Returns the prefill debt at `now`, in squared tokens. Each started item adds the square of its prompt length: the
 * step that prefills it grows with the prompt, and so do both the chance that an online request meets this step and the
 * delay that it causes.
 */
export function estimatePrefillDebt ({ debt, debtAt }: Pick<BatchAdmissionState, 'debt' | 'debtAt'>, now: number): number {
  return Math.max(0, debt - DRAIN_RATE * (now - debtAt))
}
