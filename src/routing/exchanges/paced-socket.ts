import { Socket } from 'node:net'

/** High-water mark in bytes: any unread data stops reading, so that each read goes through `_read`. */
const HIGH_WATER_MARK = 1

/**
 * A socket that reads at most once per `period` ms. Data that arrives meanwhile stays in the kernel's buffer and is read at
 * once, so that a stream of small events doesn't wake the process for each of them.
 */
export class PacedSocket extends Socket {
  private readAt = -Infinity
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly period: number) {
    super({ readableHighWaterMark: HIGH_WATER_MARK } as object)
  }

  override _read (size: number): void {
    const pause = this.readAt + this.period - performance.now()
    if (pause <= 0 || this.connecting) return this.readNow(size)
    this.timer ??= setTimeout(() => {
      this.timer = undefined
      if (!this.destroyed) this.readNow(size)
    }, pause)
  }

  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    clearTimeout(this.timer)
    super._destroy(error, callback)
  }

  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    this.readAt = performance.now()
    return super.push(chunk, encoding)
  }

  private readNow (size: number): void {
    super._read(size)
  }
}
