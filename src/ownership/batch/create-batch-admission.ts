import type { BatchAdmissionOptions } from './batch-admission-options.js'
import type { BatchAdmissionState } from './batch-admission-state.js'

/** Initial limit of streams, as a share of the sequences that the server may have in flight. */
const INITIAL_SHARE = 0.5

/** Creates the admission state of a server that hasn't been observed yet. */
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
