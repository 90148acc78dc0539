import { createHmac, timingSafeEqual } from 'node:crypto'

const COUNTER_BYTES = 8

/**
 * Seals the frames of one direction of one session. The frame's number goes into its seal: a frame that is repeated,
 * left out or moved within the session fails like one that was changed.
 */
export class FrameAuthenticator {
  private count = 0n

  /**
   * `length` is that of the seal in bytes. Eight do: whoever guesses has one try in 2^64, because the first wrong seal
   * ends the session and its key with it.
   */
  constructor (private readonly key: Uint8Array, private readonly length: 8 | 16) {}

  /** The seal of the next frame. */
  createTag (body: Uint8Array): Buffer {
    const counter = Buffer.allocUnsafe(COUNTER_BYTES)
    counter.writeBigUInt64BE(this.count++)
    return createHmac('sha256', this.key).update(counter).update(body).digest().subarray(0, this.length)
  }

  /** The body of the next frame, if its seal is right. */
  verify (frame: Buffer): Buffer | undefined {
    if (frame.length < this.length) return undefined
    const body = frame.subarray(this.length)
    return timingSafeEqual(frame.subarray(0, this.length), this.createTag(body)) ? body : undefined
  }
}
