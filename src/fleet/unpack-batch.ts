import { Err, Ok, type Result } from 'ts-results'
import type { StoredObject } from '../store/stored-object.js'
import type { StoreMirror } from '../store/store-mirror.js'
import type { WatchBatch } from '../store/watch-batch.js'
import type { ObjectPacker } from './object-packer.js'
import type { PackedObject } from './packed-object.js'

interface UnpackOptions {
  /** This daemon's copy of the objects. */
  readonly mirror: Pick<StoreMirror<unknown>, 'isCurrent' | 'find'>
  readonly packer: Pick<ObjectPacker, 'unpack'>
}

/**
 * Returns a batch from another daemon with its packed objects unpacked, or what is wrong with it. Each change arrives from several
 * daemons: objects that the mirror reflects already aren't decompressed again but taken from the mirror.
 */
export function unpackBatch (batch: unknown, { mirror, packer }: UnpackOptions): Result<WatchBatch<any>, string> {
  const { changed, deleted } = (batch ?? {}) as Partial<WatchBatch<unknown>>
  if (!Array.isArray(changed) || !Array.isArray(deleted)) return Err('a batch without changes or removals')
  const objects: StoredObject[] = []
  for (const object of changed as ReadonlyArray<StoredObject | PackedObject>) {
    const known = 'packed' in object && mirror.isCurrent(object)
    const unpacked = known ? Ok(mirror.find(object)) : 'packed' in object ? packer.unpack(object) : Ok(object)
    if (unpacked.err) return unpacked
    if (unpacked.val !== undefined) objects.push(unpacked.val)
  }
  return Ok({ ...batch as WatchBatch<unknown>, changed: objects })
}
