import type { WaitingReason } from './waiting-reason.js'

const types: Readonly<Record<WaitingReason['type'], true>> = { slot: true, version: true, 'suspect part': true, 'refused part': true, 'look-up': true, route: true, service: true, backoff: true, stopping: true, storing: true }

/** All types of reasons for which items wait. */
export const waitingReasonTypes = Object.keys(types) as ReadonlyArray<WaitingReason['type']>
