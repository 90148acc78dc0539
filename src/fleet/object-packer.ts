import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Err, type Result } from 'ts-results'
import { plainCodec } from '../peers/plain-codec.js'
import type { StoredObject } from '../store/stored-object.js'
import type { PackedObject } from './packed-object.js'

/** The fastest level of compression, since small daemons are short of processor time. */
const LEVEL = 1
/** Limit on an object from a peer, bytes: more than the store accepts. */
const MAX_BYTES = 32_000_000

/**
 * Packs objects that are sent to many daemons. Each version is encoded and compressed once, whatever the number of recipients: encoded
 * for each of them, a configuration of 1,400 routes would occupy a small daemon and its link for seconds.
 */
export class ObjectPacker {
  private readonly packed = new Map<string, PackedObject>()

  pack ({ kind, name, version, value }: StoredObject): PackedObject {
    const known = this.packed.get(`${kind} ${name}`)
    if (known?.version === version) return known
    const object = { kind, name, version, packed: deflateRawSync(plainCodec.encode({ value }), { level: LEVEL }) }
    this.packed.set(`${kind} ${name}`, object)
    return object
  }

  unpack ({ kind, name, version, packed }: PackedObject): Result<StoredObject, string> {
    try {
      return plainCodec.decode(inflateRawSync(packed, { maxOutputLength: MAX_BYTES })).map(({ value }) => ({ kind, name, version, value }))
    } catch (error) {
      return Err(`packed object doesn't decompress: ${(error as Error).message}`)
    }
  }
}
