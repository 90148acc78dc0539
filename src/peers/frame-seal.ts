import { createHmac, timingSafeEqual } from 'node:crypto'

const SEAL_BYTES = 16
const COUNTER_BYTES = 8

/**
 * Seals the frames of one direction of one session. The frame's number goes into its seal: a frame that is repeated,
 * left out or moved within the session fails like one that was changed.
 */
export class FrameSeal {
  private count = 0n

  constructor (private readonly key: Uint8Array) {}

  /** The seal of the next frame. */
  create (body: Uint8Array): Buffer {
    const counter = Buffer.allocUnsafe(COUNTER_BYTES)
    counter.writeBigUInt64BE(this.count++)
    return createHmac('sha256', this.key).update(counter).update(body).digest().subarray(0, SEAL_BYTES)
  }

  /** The body of the next frame, if its seal is right. */
  open (frame: Buffer): Buffer | undefined {
    if (frame.length < SEAL_BYTES) return undefined
    const body = frame.subarray(SEAL_BYTES)
    return timingSafeEqual(frame.subarray(0, SEAL_BYTES), this.create(body)) ? body : undefined
  }
}
