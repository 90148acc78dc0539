/** Bytes of the longest blocks. */
const MAX_LENGTH = 65_536
/** Bytes of free blocks that are kept. */
const MAX_FREE = 25_165_824

/**
 * Blocks of memory that are used again. One that has served for a while would else be freed only by a full garbage collection, which V8
 * puts off until tens of megabytes wait for it.
 */
class BlockPool {
  readonly maxLength = MAX_LENGTH
  /** By their length. */
  private readonly free = new Map<number, Buffer[]>()
  private freeBytes = 0

  /** Returns a block whose content is undefined. Its length should be a power of two, so that it fits others later. */
  take (length: number): Buffer {
    const block = this.free.get(length)?.pop()
    if (block === undefined) return Buffer.allocUnsafeSlow(length)
    this.freeBytes -= length
    return block
  }

  /** Takes back a block that nothing refers to any more. */
  give (block: Buffer): void {
    if (this.freeBytes + block.length > MAX_FREE) return
    const others = this.free.get(block.length)
    if (others === undefined) this.free.set(block.length, [block])
    else others.push(block)
    this.freeBytes += block.length
  }
}

/** The blocks of this process. */
export const blockPool = new BlockPool()
