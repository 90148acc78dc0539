import type { StreamOrigin } from './stream-origin.js'

/** The stored records of the streams that have one origin. */
export interface OriginGroup extends StreamOrigin {
  readonly ids: readonly string[]
}
