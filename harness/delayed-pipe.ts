import type { Socket } from 'node:net'

interface Held { readonly due: number, readonly bytes: Buffer }

/** One direction of a connection, whose bytes may be held for a while and never overtake one another. */
export class DelayedPipe {
  private readonly held: Held[] = []
  private timer: NodeJS.Timeout | undefined
  private ended = false

  constructor (private readonly to: Socket) {}

  /** Passes bytes on after `delay` ms, and after all that is held. */
  write (bytes: Buffer, delay: number): void {
    if (delay <= 0 && this.held.length === 0) this.to.write(bytes)
    else this.held.push({ due: performance.now() + delay, bytes })
    this.arm()
  }

  /** Closes the far end once all that is held has passed. */
  close (): void {
    this.ended = true
    if (this.held.length === 0) this.to.destroySoon()
  }

  private arm (): void {
    const [first] = this.held
    if (first === undefined || this.timer !== undefined) return
    this.timer = setTimeout(() => this.flush(), Math.max(0, first.due - performance.now()))
  }

  private flush (): void {
    this.timer = undefined
    while (this.held.length > 0 && this.held[0]!.due <= performance.now()) this.to.write(this.held.shift()!.bytes)
    if (this.ended && this.held.length === 0) this.to.destroySoon()
    else this.arm()
  }
}
