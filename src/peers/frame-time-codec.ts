const US_PER_MS = 1_000

/**
 * Delta-encodes the times of the frames of one direction, in whole microseconds. Frames of a session arrive complete and in
 * order, so that both ends hold the previous time. Times are rounded up: a decoded time is never before its event.
 */
export class FrameTimeCodec {
  private last = 0

  /** Returns the difference to send for `time` in ms. */
  encode (time: number): number {
    const now = Math.ceil(time * US_PER_MS)
    const difference = now - this.last
    this.last = now
    return difference
  }

  /** Returns the time in ms for a received difference. */
  decode (difference: number): number {
    this.last += difference
    return this.last / US_PER_MS
  }
}
