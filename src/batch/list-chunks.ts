import type { ServiceChunks } from './service-chunks.js'

/** The number of a chunk in its file or job, its service and its number of items. */
interface ChunkPlace { readonly n: number, readonly service: string, readonly items: number }

/** Returns the chunks of a file or job, in the order of their numbers. */
export function listChunks (services: readonly ServiceChunks[]): readonly ChunkPlace[] {
  return services.flatMap(({ service, sizes }) => sizes.map(items => ({ service, items }))).map((chunk, n) => ({ n, ...chunk }))
}
