import type { Readable } from 'node:stream'

/**
 * Reads the body of an answer piece by piece. Unlike the iterator of a stream, it returns what has arrived before it fails, also where the
 * connection breaks off before anything is read.
 */
export class BodyReader {
  private error: Error | undefined
  private isEnded = false
  private wake = (): void => {}

  constructor (private readonly body: Readable) {
    body.on('readable', () => this.wake())
    body.on('end', () => {
      this.isEnded = true
      this.wake()
    })
    body.on('error', error => {
      this.error = error
      this.wake()
    })
    body.on('close', () => this.wake())
  }

  /** Returns the next bytes, undefined at the end; throws where the body broke off. One call at a time. */
  async read (): Promise<Buffer | undefined> {
    for (;;) {
      const bytes = this.body.read() as Buffer | null
      if (bytes !== null) return bytes
      if (this.isEnded) return undefined
      if (this.error !== undefined) throw this.error
      if (this.body.closed) throw new Error('the body was closed before its end')
      await new Promise<void>(resolve => { this.wake = resolve })
    }
  }
}
