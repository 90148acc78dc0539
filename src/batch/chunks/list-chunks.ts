import type { ServiceChunks } from './service-chunks.js'

/** A chunk of a file or job: its number `n`, its service and its number of items. */
interface NumberedChunk { readonly n: number, readonly service: string, readonly items: number }

/** Returns the chunks of a file or job, in the order of their numbers. */
export function listChunks (services: readonly ServiceChunks[]): readonly NumberedChunk[] {
  return services.flatMap(({ service, sizes }) => sizes.map(items => ({ service, items }))).map((chunk, n) => ({ n, ...chunk }))
}
