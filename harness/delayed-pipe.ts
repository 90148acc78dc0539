import type { Socket } from 'node:net'

interface QueuedBytes { readonly due: number, readonly bytes: Buffer }

/** One direction of a relayed connection. Bytes can be delayed and always keep their order. */
export class DelayedPipe {
  private readonly queue: QueuedBytes[] = []
  private timer: NodeJS.Timeout | undefined
  private ended = false
  private isReset = false

  constructor (private readonly to: Socket) {}

  /** Forwards bytes after `delay` ms, but never before those already queued. */
  write (bytes: Buffer, delay: number): void {
    if (delay <= 0 && this.queue.length === 0) this.to.write(bytes)
    else this.queue.push({ due: performance.now() + delay, bytes })
    this.schedule()
  }

  /** Closes the destination, or resets it, once all queued bytes are forwarded. */
  close (isReset = false): void {
    this.ended = true
    this.isReset = isReset
    if (this.queue.length === 0) this.end()
  }

  private end (): void {
    if (this.isReset) this.to.resetAndDestroy()
    else this.to.destroySoon()
  }

  private schedule (): void {
    const [first] = this.queue
    if (first === undefined || this.timer !== undefined) return
    this.timer = setTimeout(() => this.flush(), Math.max(0, first.due - performance.now()))
  }

  private flush (): void {
    this.timer = undefined
    while (this.queue.length > 0 && this.queue[0]!.due <= performance.now()) this.to.write(this.queue.shift()!.bytes)
    if (this.ended && this.queue.length === 0) this.end()
    else this.schedule()
  }
}
