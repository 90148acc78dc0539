import { Decoder, Encoder } from 'cbor-x'
import { Err, Ok, type Result } from 'ts-results'

type Value = Readonly<Record<string, unknown>>

/** The values in frames: CBOR maps. What doesn't decode to one is an error, never an exception. */
export class FrameCodec {
  private readonly encoder: Encoder
  private readonly decoder: Decoder

  /** `keys` are sent as their place in the list, which both ends must have alike; all others as they are. */
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
