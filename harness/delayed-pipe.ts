import type { Socket } from 'node:net'

interface QueuedBytes { readonly due: number, readonly bytes: Buffer }

/** One direction of a connection, whose bytes may be held for a while and never overtake one another. */
export class DelayedPipe {
  private readonly queue: QueuedBytes[] = []
  private timer: NodeJS.Timeout | undefined
  private ended = false

  constructor (private readonly to: Socket) {}

  /** Passes bytes on after `delay` ms, and after all that is held. */
  write (bytes: Buffer, delay: number): void {
    if (delay <= 0 && this.queue.length === 0) this.to.write(bytes)
    else this.queue.push({ due: performance.now() + delay, bytes })
    this.schedule()
  }

  /** Closes the far end once all that is held has passed. */
  close (): void {
    this.ended = true
    if (this.queue.length === 0) this.to.destroySoon()
  }

  private schedule (): void {
    const [first] = this.queue
    if (first === undefined || this.timer !== undefined) return
    this.timer = setTimeout(() => this.flush(), Math.max(0, first.due - performance.now()))
  }

  private flush (): void {
    this.timer = undefined
    while (this.queue.length > 0 && this.queue[0]!.due <= performance.now()) this.to.write(this.queue.shift()!.bytes)
    if (this.ended && this.queue.length === 0) this.to.destroySoon()
    else this.schedule()
  }
}
