import type { BatchAdmissionOptions } from '../../src/ownership/batch-admission-options.js'
import type { EngineParameters } from '../../stand-ins/engine/engine-parameters.js'
import type { ItemSizes } from './item-sizes.js'
import type { createWorkload } from './workload.js'

/** What one run on virtual time goes by. Times in ms. */
export interface SimulationOptions {
  readonly admission: BatchAdmissionOptions
  readonly engine: EngineParameters
  readonly workload: ReturnType<typeof createWorkload>
  readonly length: number
  readonly seed: number
  /** ms by which news of online requests comes later than on a healthy link. */
  readonly notificationDelay?: number
  readonly items?: ItemSizes
  /** ms that exporting a stream's KV cache delays its end; the item is then imported where it goes on. No export when left out. */
  readonly exportTime?: number
  /** Whether items that gave way go on at a server that doesn't have them in its cache. */
  readonly elsewhere?: boolean
}
