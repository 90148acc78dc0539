import type { MemoryBudget } from './memory-budget.js'

/** Bytes that one holder keeps, counted in the budget of the process. */
export class MemoryHold {
  /** In bytes. */
  size = 0
  /** Whether it is in use, so that it gives way to no other. */
  isPinned = false
  /** Whether it was given up, so that it takes no more. */
  isLeaving = false
  private isReleased = false

  constructor (private readonly budget: MemoryBudget, readonly holder: string, public giveUp: () => void) {}

  /** Takes `bytes` more; returns false, and takes nothing, where there is no room. */
  grow (bytes: number): boolean {
    if (this.isReleased || this.isLeaving || !this.budget.claim(this, bytes)) return false
    this.size += bytes
    return true
  }

  /** Takes `bytes` more that are held already, whether there is room or not. */
  force (bytes: number): void {
    if (this.isReleased) return
    this.budget.add(this, bytes)
    this.size += bytes
  }

  shrink (bytes: number): void {
    this.force(-Math.min(bytes, this.size))
  }

  /** Marks the bytes as in use; returns false where too many are already. */
  pin (): boolean {
    if (this.isPinned) return true
    if (!this.budget.mayPin(0, this.size)) return false
    this.isPinned = true
    this.budget.recordPin(this, true)
    return true
  }

  unpin (): void {
    if (!this.isPinned) return
    this.budget.recordPin(this, false)
    this.isPinned = false
  }

  /** Returns all bytes. The hold can't be used again. */
  release (): void {
    this.shrink(this.size)
    this.unpin()
    this.isReleased = true
    this.budget.forget(this)
  }
}
