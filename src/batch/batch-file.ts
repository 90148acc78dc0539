import type { ServiceChunks } from './service-chunks.js'

/** An uploaded batch file, in the object `file/ID`; its items are in the objects `items/ID.N`. */
export interface BatchFile {
  readonly id: string
  readonly caller: string
  readonly name: string
  readonly bytes: number
  readonly items: number
  /** Its chunks, each of one service, in the order of their numbers. */
  readonly services: readonly ServiceChunks[]
  /** Wall-clock ms. */
  readonly created: number
}
