/** A scheduler of tasks on virtual time; tasks of the same time run in the order in which they were added. */
export class Schedule {
  now = 0
  private readonly heap: Array<{ readonly at: number, readonly order: number, readonly task: () => void }> = []
  private added = 0

  after (delay: number, task: () => void): void {
    this.heap.push({ at: this.now + delay, order: this.added++, task })
    for (let i = this.heap.length - 1; i > 0;) {
      const parent = (i - 1) >> 1
      if (!this.isBefore(i, parent)) break
      this.swap(i, parent)
      i = parent
    }
  }

  /** Runs all tasks that are due before `end`, and advances the time to `end`. */
  run (end: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at < end) {
      const next = this.take()
      this.now = next.at
      next.task()
    }
    this.now = end
  }

  private take (): { readonly at: number, readonly task: () => void } {
    const first = this.heap[0]!
    const last = this.heap.pop()!
    if (this.heap.length === 0) return first
    this.heap[0] = last
    for (let i = 0; ;) {
      const left = 2 * i + 1
      if (left >= this.heap.length) return first
      const child = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.isBefore(child, i)) return first
      this.swap(i, child)
      i = child
    }
  }

  private isBefore (a: number, b: number): boolean {
    const left = this.heap[a]!
    const right = this.heap[b]!
    return left.at < right.at || (left.at === right.at && left.order < right.order)
  }

  private swap (a: number, b: number): void {
    const kept = this.heap[a]!
    this.heap[a] = this.heap[b]!
    this.heap[b] = kept
  }
}
