import { Err, Ok, type Result } from 'ts-results'
import { BodyBuffer } from '../http/body-buffer.js'

const LENGTH_BYTES = 4
const MAX_FRAME_BYTES = 1_000_000

/**
 * Splits a byte stream into the bodies of its frames. A frame over `limit` bytes is an error as soon as its length is known,
 * which bounds the memory that a peer can take up. After an error the stream can't be read further.
 */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0)
  /** What has arrived behind `buffered`. It is joined once a frame is whole: a frame may come in many small pieces. */
  private readonly arrived = new BodyBuffer()
  /** Bytes until the next frame, or its length, can be read. */
  private needed = LENGTH_BYTES

  constructor (public limit = MAX_FRAME_BYTES) {}

  push (bytes: Uint8Array): void {
    if (this.buffered.length === 0) this.buffered = Buffer.from(bytes)
    else this.arrived.add(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length))
  }

  /** Returns the next complete body, or undefined until more bytes arrive. */
  take (): Result<Buffer | undefined, string> {
    if (!this.join()) return Ok(undefined)
    const length = this.buffered.readUInt32BE(0)
    if (length > this.limit) return Err(`frame of ${length} bytes, over the limit of ${this.limit}`)
    this.needed = LENGTH_BYTES + length
    if (!this.join()) return Ok(undefined)
    const body = this.buffered.subarray(LENGTH_BYTES, this.needed)
    this.buffered = this.buffered.subarray(this.needed)
    this.needed = LENGTH_BYTES
    return Ok(body)
  }

  /** Returns whether the needed bytes are there, in `buffered` then. */
  private join (): boolean {
    if (this.buffered.length >= this.needed) return true
    if (this.buffered.length + this.arrived.length < this.needed) return false
    this.buffered = Buffer.concat([this.buffered, this.arrived.join()])
    this.arrived.clear()
    return true
  }
}
