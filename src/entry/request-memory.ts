import type { MemoryHold } from '../kernel/memory/memory-hold.js'

/** The bytes of one request and its answer, as a part of what its connection holds. */
export class RequestMemory {
  private size = 0
  private isReleased = false

  /** `close` closes the connection. */
  constructor (private readonly hold: MemoryHold, private readonly close: () => void) {}

  /** Takes `bytes` more; returns false where there is no room. */
  grow (bytes: number): boolean {
    if (this.isReleased || !this.hold.grow(bytes)) return false
    this.size += bytes
    return true
  }

  /** Returns `bytes`, which are dropped or counted elsewhere. */
  shrink (bytes: number): void {
    if (this.isReleased) return
    this.hold.shrink(bytes)
    this.size -= bytes
  }

  /** Takes the bytes of an answer that is there already, and lets the connection give way if its caller doesn't read it. */
  keepAnswer (bytes: number): void {
    this.hold.unpin()
    if (this.isReleased) return
    this.hold.force(bytes)
    this.size += bytes
  }

  /** Keeps the connection while the request runs; returns false where too much is running already. */
  pin (): boolean {
    return this.hold.pin()
  }

  /** Calls `drop`, which drops all bytes at once, instead of closing the connection where they are needed for others; without it, the connection is closed again. */
  setGiveUp (drop?: () => void): void {
    this.hold.giveUp = this.close
    if (drop === undefined) return
    this.hold.giveUp = () => {
      drop()
      this.hold.release()
    }
  }

  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.hold.unpin()
    this.hold.shrink(this.size)
  }
}
