import { Decoder, Encoder } from 'cbor-x'
import { Err, Ok, type Result } from 'ts-results'

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

/** The values in frames: CBOR maps. What doesn't decode to one is an error, never an exception. */
export const frameCodec = {
  encode (value: Readonly<Record<string, unknown>>): Buffer {
    return encoder.encode(value)
  },

  decode (body: Uint8Array): Result<Readonly<Record<string, unknown>>, string> {
    try {
      const value: unknown = decoder.decode(body)
      if (Object.prototype.toString.call(value) !== '[object Object]') return Err('frame is not a map')
      return Ok(value as Record<string, unknown>)
    } catch (error) {
      return Err(`frame does not decode: ${(error as Error).message}`)
    }
  }
}
