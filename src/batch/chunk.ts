import type { ItemResult } from './item-result.js'

/** The claim and the results of one chunk of a job, in the object `chunk/JOB.N`. */
export interface Chunk {
  readonly holder: string
  /** Wall-clock ms until which others leave the chunk to its holder. */
  readonly until: number
  readonly results: Readonly<Record<string, ItemResult>>
}
