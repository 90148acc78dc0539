import type { BatchAdmissionState } from './batch-admission-state.js'
import { estimatePrefillDebt } from './estimate-prefill-debt.js'

/**
 * Prompt tokens beyond which an item's debt grows no further. The square of a prompt of 100,000 tokens would keep other long ones
 * waiting for eight hours; with this bound they wait for 6.4 s at most.
 */
const MAX_COUNTED_TOKENS = 1_500

/** Returns the prefill debt after an item with `prefill` prompt tokens has started. */
export function applyPrefill (state: Pick<BatchAdmissionState, 'debt' | 'debtAt'>, prefill: number, now: number): Pick<BatchAdmissionState, 'debt' | 'debtAt'> {
  return { debt: estimatePrefillDebt(state, now) + Math.min(prefill, MAX_COUNTED_TOKENS) ** 2, debtAt: now }
}
