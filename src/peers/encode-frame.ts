import { encode } from 'cbor-x'

/** One frame: its length as 32 bits, big-endian, then the value in CBOR. */
export function encodeFrame (value: unknown): Buffer {
  const body = encode(value)
  const frame = Buffer.allocUnsafe(4 + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, 4)
  return frame
}
