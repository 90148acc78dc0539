/** A block that was added to the cache or removed from it. */
interface CacheChange { readonly type: 'stored' | 'removed', readonly block: number }

/** An LRU cache of prefix blocks. */
export class PrefixCache {
  private readonly blocks = new Set<number>()

  constructor (private readonly onChange: (change: CacheChange) => void = () => {}) {}

  get size (): number {
    return this.blocks.size
  }

  /** Returns the number of leading blocks that are cached, and marks these as used. */
  use (blocks: readonly number[]): number {
    let hits = 0
    while (hits < blocks.length && this.blocks.has(blocks[hits]!)) hits++
    for (let i = hits - 1; i >= 0; i--) this.touch(blocks[i]!)
    return hits
  }

  /** Adds blocks, then evicts down to `capacity` blocks. */
  put (blocks: readonly number[], capacity: number): void {
    for (let i = blocks.length - 1; i >= 0; i--) {
      if (!this.blocks.has(blocks[i]!)) this.onChange({ type: 'stored', block: blocks[i]! })
      this.touch(blocks[i]!)
    }
    this.evict(capacity)
  }

  evict (capacity: number): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= Math.max(0, capacity)) return
      this.blocks.delete(block)
      this.onChange({ type: 'removed', block })
    }
  }

  private touch (block: number): void {
    this.blocks.delete(block)
    this.blocks.add(block)
  }
}
