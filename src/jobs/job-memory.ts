import { inject, Lifecycle, scoped } from 'tsyringe'
import { MemoryBudget } from '../kernel/memory/memory-budget.js'
import type { MemoryHold } from '../kernel/memory/memory-hold.js'
import type { JobItem } from './job-item.js'

/** Memory of an item besides its texts, bytes. */
const ITEM_OVERHEAD = 600

/** The memory of the items of this daemon's jobs. All jobs share one hold, which leaves room for requests. */
@scoped(Lifecycle.ContainerScoped)
export class JobMemory {
  private readonly sizes = new Map<string, number>()
  private readonly hold: MemoryHold

  constructor (@inject(MemoryBudget) budget: MemoryBudget) {
    this.hold = budget.open('jobs', () => {})
    this.hold.pin()
  }

  /** Takes memory for the items of a job; returns false where there is no room. */
  take (job: string, items: readonly JobItem[]): boolean {
    if (this.sizes.has(job)) return true
    const size = countBytes(items)
    if (!this.hold.grow(size)) return false
    this.sizes.set(job, size)
    return true
  }

  /** Counts the items of a job that runs here, unless they are counted: another submission of the same job may have returned them. */
  keep (job: string, items: readonly JobItem[]): void {
    if (this.sizes.has(job)) return
    const size = countBytes(items)
    this.hold.force(size)
    this.sizes.set(job, size)
  }

  /** Returns the memory of a job whose items have been dropped. */
  release (job: string): void {
    this.hold.shrink(this.sizes.get(job) ?? 0)
    this.sizes.delete(job)
  }
}

function countBytes (items: readonly JobItem[]): number {
  return items.reduce((sum, { path, headers, body }) => sum + ITEM_OVERHEAD + path.length + body.length + Object.values(headers).join('').length, 0)
}
