import { hashContent } from '../hash-content.js'
import type { Pack } from './pack.js'
import type { PackedFile } from './packed-file.js'

const MEAN_FILES_PER_PACK = 32
const MAX_PACK_BYTES = 250_000

/**
 * Splits a folder into packs, in the order of file names. The start of a pack depends only on the name of its first file
 * (unless a pack would exceed `MAX_PACK_BYTES`), so that changing, adding or removing a file changes one pack, or two if
 * that file starts a pack, and all others keep their hash.
 */
export function splitPacks (files: readonly PackedFile[]): readonly Pack[] {
  const packs: PackedFile[][] = []
  let bytes = Infinity
  for (const file of [...files].sort(([a], [b]) => a < b ? -1 : 1)) {
    const size = Buffer.byteLength(file[1])
    if (bytes + size > MAX_PACK_BYTES || isPackStart(file[0])) {
      packs.push([])
      bytes = 0
    }
    packs.at(-1)!.push(file)
    bytes += size
  }
  return packs.map(packed => ({ hash: hashContent(packed), files: packed }))
}

function isPackStart (name: string): boolean {
  return parseInt(hashContent(name).slice(0, 8), 16) % MEAN_FILES_PER_PACK === 0
}
