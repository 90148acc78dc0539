import fc from 'fast-check'
import type { FaultEvent } from './fault-event.js'

const at = fc.integer({ min: 0, max: 60 })
const length = fc.integer({ min: 1, max: 150 })
const daemon = fc.integer({ min: 0, max: 2 })

/** Random sequences of faults. The fourth daemon never fails, so that the job can be finished. */
export const faultEvents: fc.Arbitrary<readonly FaultEvent[]> = fc.array(fc.oneof(
  fc.record({ type: fc.constantFrom('kill' as const, 'replace' as const), daemon, at }),
  fc.record({ type: fc.constantFrom('pause' as const, 'cut' as const), daemon, at, length }),
  fc.record({ type: fc.constantFrom('outage' as const, 'lost replies' as const, 'old reads' as const), at, length })
), { maxLength: 6 })
