import { createHmac, timingSafeEqual } from 'node:crypto'

const COUNTER_BYTES = 8

/**
 * Authenticates the frames of one direction of a session by a tag: a truncated HMAC of the frame's sequence number and body. A
 * frame that is repeated, left out, reordered or changed has a wrong tag.
 */
export class FrameAuthenticator {
  private count = 0n

  /**
   * `length` is that of the tag in bytes. Eight suffice: a forger has one guess in 2^64, because the first wrong tag ends the
   * session and its key.
   */
  constructor (private readonly key: Uint8Array, private readonly length: 8 | 16) {}

  /** Returns the tag of the next frame. */
  createTag (body: Uint8Array): Buffer {
    const counter = Buffer.allocUnsafe(COUNTER_BYTES)
    counter.writeBigUInt64BE(this.count++)
    return createHmac('sha256', this.key).update(counter).update(body).digest().subarray(0, this.length)
  }

  /** Returns the body of the next frame, or undefined if its tag is wrong. */
  verify (frame: Buffer): Buffer | undefined {
    if (frame.length < this.length) return undefined
    const body = frame.subarray(this.length)
    return timingSafeEqual(frame.subarray(0, this.length), this.createTag(body)) ? body : undefined
  }
}
