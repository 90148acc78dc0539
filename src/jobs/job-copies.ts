import { inject, Lifecycle, scoped } from 'tsyringe'
import { MemoryBudget } from '../kernel/memory/memory-budget.js'
import type { MemoryHold } from '../kernel/memory/memory-hold.js'
import type { OwnedJob } from './owned-job.js'

/** Maximum number of copies. */
const MAX_COPIES = 100
/** Memory of a copy besides the texts of its results, bytes. */
const COPY_OVERHEAD = 2_048

interface Copy { readonly job: OwnedJob, readonly hold: MemoryHold }

/** Copies of jobs that other daemons own, kept because their stored results never change. One that there is no memory for isn't kept. */
@scoped(Lifecycle.ContainerScoped)
export class JobCopies {
  private readonly copies = new Map<string, Copy>()

  constructor (@inject(MemoryBudget) private readonly budget: Pick<MemoryBudget, 'open'>) {}

  find (id: string): OwnedJob | undefined {
    return this.copies.get(id)?.job
  }

  /** Keeps a copy, or updates what it takes after results were added. */
  keep (job: OwnedJob): void {
    const { hold } = this.copies.get(job.id) ?? this.open(job)
    const added = COPY_OVERHEAD + job.resultBytes - hold.size
    if (added > 0 && !hold.grow(added)) this.drop(job.id)
    if (this.copies.size > MAX_COPIES) this.drop(this.copies.keys().next().value!)
  }

  private open (job: OwnedJob): Copy {
    const copy = { job, hold: this.budget.open('job results', () => this.drop(job.id)) }
    this.copies.set(job.id, copy)
    return copy
  }

  private drop (id: string): void {
    this.copies.get(id)?.hold.release()
    this.copies.delete(id)
  }
}
