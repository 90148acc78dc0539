import type { StreamOrigin } from './stream-origin.js'

/** The records of one instance. */
export interface OwnOrigins {
  readonly records: ReadonlyMap<string, StreamOrigin>
  /** Pools of which the instance has dropped records of streams that may still be resumed. */
  readonly incomplete: readonly string[]
}
