import type { ServiceChunks } from '../chunks/service-chunks.js'

/** An uploaded batch file, stored as `file/ID`. Its items are stored as `items/ID.N`, one object a chunk. */
export interface BatchFile {
  readonly id: string
  readonly caller: string
  readonly name: string
  readonly bytes: number
  readonly items: number
  /** Chunks by service; chunk numbers count through all services in this order. */
  readonly services: readonly ServiceChunks[]
  /** Wall-clock ms. */
  readonly created: number
}
