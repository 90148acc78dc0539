import type { ServiceChunks } from './service-chunks.js'

/** Where one chunk stands in its file or job. */
interface ChunkPlace { readonly n: number, readonly service: string, readonly items: number }

/** The chunks of a file or job, in the order of their numbers. */
export function listChunks (services: readonly ServiceChunks[]): readonly ChunkPlace[] {
  return services.flatMap(({ service, sizes }) => sizes.map(items => ({ service, items }))).map((chunk, n) => ({ n, ...chunk }))
}
