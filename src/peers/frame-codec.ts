import { Decoder, Encoder } from 'cbor-x'
import { Err, Ok, type Result } from 'ts-results'

type Value = Readonly<Record<string, unknown>>

/** Encodes the values in frames as CBOR maps. A body that does not decode to a map is an error result, never an exception. */
export class FrameCodec {
  private readonly encoder: Encoder
  private readonly decoder: Decoder

  /** `keys` are encoded as their position in the list, which must be the same at both ends; other keys are encoded as text. */
  constructor (keys: readonly string[] = []) {
    const keyMap = keys.length === 0 ? undefined : Object.fromEntries(keys.map((key, i) => [key, i + 1]))
    this.encoder = new Encoder({ useRecords: false, mapsAsObjects: true, keyMap })
    this.decoder = new Decoder({ useRecords: false, mapsAsObjects: true, keyMap })
  }

  encode (value: Value): Buffer {
    return this.encoder.encode(value)
  }

  decode (body: Uint8Array): Result<Value, string> {
    try {
      const value: unknown = this.decoder.decode(body)
      if (Object.prototype.toString.call(value) !== '[object Object]') return Err('frame is not a map')
      return Ok(value as Value)
    } catch (error) {
      return Err(`frame does not decode: ${(error as Error).message}`)
    }
  }
}
