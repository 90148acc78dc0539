import { Err, Ok, type Result } from 'ts-results'

const LENGTH_BYTES = 4
const MAX_FRAME_BYTES = 1_000_000

/**
 * Splits a byte stream into the bodies of its frames. A frame over `limit` bytes is an error as soon as its length is known,
 * which bounds the memory that a peer can take up. After an error the stream can't be read further.
 */
export class FrameReader {
  private buffered = Buffer.alloc(0)

  constructor (public limit = MAX_FRAME_BYTES) {}

  push (bytes: Uint8Array): void {
    this.buffered = this.buffered.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.buffered, bytes])
  }

  /** Returns the next complete body, or undefined until more bytes arrive. */
  take (): Result<Buffer | undefined, string> {
    if (this.buffered.length < LENGTH_BYTES) return Ok(undefined)
    const length = this.buffered.readUInt32BE(0)
    if (length > this.limit) return Err(`frame of ${length} bytes, over the limit of ${this.limit}`)
    if (this.buffered.length < LENGTH_BYTES + length) return Ok(undefined)
    const body = this.buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length)
    this.buffered = this.buffered.subarray(LENGTH_BYTES + length)
    return Ok(body)
  }
}
