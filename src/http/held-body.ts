interface HeldBodyOptions {
  /**
   * Returns how long the last byte is held back, ms: longer than an answer takes that doesn't depend on the body. Called once there is a
   * connection. If it returns undefined, nothing is held back, and the connection isn't used again.
   */
  readonly getHoldTime?: () => number | undefined
  /** Checked before a last byte that was held back is sent, unless the answer has begun; if it returns false, the body fails without it. */
  readonly mayFinish?: () => boolean
}

/**
 * The body of a request, as an async iterable for undici, that allows its connection to be used again only if the server has
 * read the body.
 *
 * A server may answer without reading the body and leave it unread, in its process or in the socket buffers. The next request on
 * the connection would wait behind those bytes until the server reads on, and nothing shows how many of them are unread. So the
 * last byte is held back for a moment: a server whose answer begins before it was sent didn't wait for the body. undici closes a
 * connection whose answer ends while the iteration goes on; the iteration then ends only with the exchange.
 */
export class HeldBody implements AsyncIterable<Buffer> {
  /** Whether all bytes have been handed over. */
  isSent = false
  private isAnswered = false
  private isUnwanted = false
  private wake = (): void => {}
  private finish = (): void => {}
  private readonly finished = new Promise<void>(resolve => { this.finish = resolve })

  constructor (private readonly body: Buffer, private readonly options: HeldBodyOptions = {}) {}

  async * [Symbol.asyncIterator] (): AsyncGenerator<Buffer> {
    const holdTime = this.options.getHoldTime?.()
    // The headers are sent with the first bytes of the body.
    const isHeld = holdTime !== undefined && this.body.length > 1
    this.isSent = !isHeld
    yield isHeld ? this.body.subarray(0, -1) : this.body
    const isRead = isHeld && await this.waitForAnswer(holdTime)
    if (isHeld && this.isUnwanted) return await this.finished
    // The process may have been paused while the byte was held back.
    if (isRead && this.options.mayFinish?.() === false) throw new Error('the request may no longer start')
    this.isSent = true
    if (isHeld) yield this.body.subarray(-1)
    if (!isRead) await this.finished
  }

  /**
   * Records that the answer has begun. Where it is an error, a last byte that is still held back is never sent: a server that refuses a
   * request and reads on must not find a whole one.
   */
  onAnswer (isError = false): void {
    this.isUnwanted = isError
    this.isAnswered = true
    this.wake()
  }

  /** Records that the exchange has ended. */
  onEnd (): void {
    this.isAnswered = true
    this.wake()
    this.finish()
  }

  /** Waits for an answer. Returns whether the server waits for the last byte. */
  private async waitForAnswer (holdTime: number): Promise<boolean> {
    if (!this.isAnswered) {
      await new Promise<void>(resolve => {
        this.wake = resolve
        // An answer that arrived while this process was busy is read before the callback of `setImmediate` runs.
        setTimeout(() => setImmediate(resolve), holdTime)
      })
    }
    return !this.isAnswered
  }
}
