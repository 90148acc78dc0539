import { blockPool } from './block-pool.js'

/** Length from which a piece is kept as it is, bytes; each kept piece costs some hundred bytes besides its own. */
const LARGE_PIECE = 4_096
/** First block that small pieces are copied into, bytes. Each further one is twice as long, up to the longest ones of the pool. */
const FIRST_BLOCK = 1_024
/** Length from which blocks are from the pool, bytes: a short body stays in its block instead of being copied. */
const POOLED_BLOCK = 4_096
/** Memory of a kept piece besides its bytes. */
const PIECE_OVERHEAD = 256

/** Collects the pieces of a body so that small ones take little more memory than their bytes. */
export class BodyBuffer {
  /** Bytes that were added, and bytes of memory that they take. */
  length = 0
  memory = 0
  private readonly parts: Buffer[] = []
  private readonly pooled: Buffer[] = []
  private block: Buffer = Buffer.alloc(0)
  private used = 0
  private nextLength = FIRST_BLOCK

  add (piece: Buffer): void {
    this.length += piece.length
    if (piece.length < LARGE_PIECE) return this.copy(piece)
    this.closeBlock()
    this.parts.push(piece)
    this.memory += piece.length + PIECE_OVERHEAD
  }

  /** Returns all bytes. They stay as they are after `clear`. */
  join (): Buffer {
    this.closeBlock()
    return this.parts.length === 1 && this.pooled.length === 0 ? this.parts[0]! : Buffer.concat(this.parts, this.length)
  }

  clear (): void {
    for (const block of this.pooled) blockPool.give(block)
    this.pooled.length = 0
    this.parts.length = 0
    this.block = Buffer.alloc(0)
    this.used = 0
    this.nextLength = FIRST_BLOCK
    this.length = 0
    this.memory = 0
  }

  private copy (piece: Buffer): void {
    if (this.used + piece.length > this.block.length) this.openBlock(piece.length)
    piece.copy(this.block, this.used)
    this.used += piece.length
  }

  private openBlock (length: number): void {
    this.closeBlock()
    while (this.nextLength < length) this.nextLength *= 2
    this.block = this.allocate(this.nextLength)
    this.nextLength = Math.min(2 * this.nextLength, blockPool.maxLength)
    this.memory += this.block.length + PIECE_OVERHEAD
  }

  private allocate (length: number): Buffer {
    if (length < POOLED_BLOCK) return Buffer.allocUnsafeSlow(length)
    const block = blockPool.take(length)
    this.pooled.push(block)
    return block
  }

  private closeBlock (): void {
    if (this.used > 0) this.parts.push(this.block.subarray(0, this.used))
    this.block = Buffer.alloc(0)
    this.used = 0
  }
}
