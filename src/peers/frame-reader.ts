import { decode } from 'cbor-x'
import { Err, Ok, type Result } from 'ts-results'

const LENGTH_BYTES = 4

/**
 * Cuts a byte stream into frames: a 32-bit big-endian length, then one CBOR value. A frame over `limit` bytes or
 * one that doesn't decode is an error; the connection is then of no further use.
 */
export class FrameReader {
  private held = Buffer.alloc(0)

  constructor (private readonly limit = 1_000_000) {}

  push (bytes: Uint8Array): Result<readonly unknown[], string> {
    this.held = this.held.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.held, bytes])
    const frames: unknown[] = []
    while (this.held.length >= LENGTH_BYTES) {
      const length = this.held.readUInt32BE(0)
      if (length > this.limit) return Err(`frame of ${length} bytes, over the limit of ${this.limit}`)
      if (this.held.length < LENGTH_BYTES + length) break
      try {
        frames.push(decode(this.held.subarray(LENGTH_BYTES, LENGTH_BYTES + length)))
      } catch (error) {
        return Err(`frame does not decode: ${(error as Error).message}`)
      }
      this.held = this.held.subarray(LENGTH_BYTES + length)
    }
    return Ok(frames)
  }
}
