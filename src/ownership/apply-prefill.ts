import type { BatchAdmissionState } from './batch-admission-state.js'
import { estimatePrefillDebt } from './estimate-prefill-debt.js'

/**
 * Tokens of a prompt beyond which it owes no more. Without this bound the square of a prompt of 100,000 tokens would keep
 * all other long ones from the server for eight hours; with it they wait for 6.4 s at most.
 */
const MAX_COUNTED_TOKENS = 1_500

/** The debt once an item that has to prefill so many tokens has been started. */
export function applyPrefill (state: Pick<BatchAdmissionState, 'debt' | 'debtAt'>, prefill: number, now: number): Pick<BatchAdmissionState, 'debt' | 'debtAt'> {
  return { debt: estimatePrefillDebt(state, now) + Math.min(prefill, MAX_COUNTED_TOKENS) ** 2, debtAt: now }
}
