import type { BatchAdmissionOptions } from './batch-admission-options.js'
import type { BatchAdmissionState } from './batch-admission-state.js'

/** Share of the streams a server may have that are allowed before any has been observed. */
const INITIAL_SHARE = 0.5

/** Batch admission on a server of which nothing is known yet. */
export function createBatchAdmission ({ maxInFlight }: Pick<BatchAdmissionOptions, 'maxInFlight'>): BatchAdmissionState {
  return {
    online: 0,
    busySince: -Infinity,
    reported: 0,
    streams: [],
    limit: Math.max(1, Math.floor(maxInFlight * INITIAL_SHARE)),
    limitChangedAt: 0,
    gap: 0,
    peak: 0,
    peakAt: 0,
    lastStart: -Infinity,
    lastPrefill: 0,
    debt: 0,
    debtAt: 0
  }
}
