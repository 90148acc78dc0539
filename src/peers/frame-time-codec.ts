const US_PER_MS = 1_000

/**
 * Sends the times of one direction's frames as the difference from the frame before, in whole microseconds: frames of a
 * session come whole and in order, so that both ends know the last one. A time is rounded up, never to before its event.
 */
export class FrameTimeCodec {
  private last = 0

  /** What to send for `time` in ms. */
  encode (time: number): number {
    const now = Math.ceil(time * US_PER_MS)
    const difference = now - this.last
    this.last = now
    return difference
  }

  decode (difference: number): number {
    this.last += difference
    return this.last / US_PER_MS
  }
}
