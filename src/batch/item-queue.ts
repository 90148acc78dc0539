/** An item that waits to be run, and the history of its earlier runs. */
interface Pending {
  readonly item: number
  readonly attempts: number
  /** Servers that failed it. */
  readonly avoid: readonly string[]
  /** Whether its started mark has been requested. */
  readonly marked: boolean
  /** Answer tokens of a run that was preempted. */
  readonly tokens?: readonly string[]
}

/**
 * The items of a held chunk that wait to be run. Non-idempotent ones become ready only when their started mark is
 * durable. An item that is marked but has not been taken has not run.
 */
export class ItemQueue {
  private readonly ready: Pending[] = []
  private readonly delayed = new Set<Pending>()
  private readonly unmarked: Pending[] = []
  private readonly marked = new Set<number>()

  add (item: number, { idempotent }: { readonly idempotent: boolean }): void {
    const queue = idempotent ? this.ready : this.unmarked
    queue.push({ item, attempts: 0, avoid: [], marked: false })
  }

  get size (): { readonly ready: number, readonly unmarked: number, readonly delayed: number } {
    return { ready: this.ready.length, unmarked: this.unmarked.length, delayed: this.delayed.size }
  }

  take (): Pending | undefined {
    const pending = this.ready.shift()
    if (pending !== undefined) this.marked.delete(pending.item)
    return pending
  }

  /**
   * Removes up to `limit` items that are to be marked as started; `addMarked` makes them ready once their mark is
   * durable.
   */
  takeUnmarked (limit: number): readonly Pending[] {
    const taken = this.unmarked.splice(0, Math.max(0, limit)).map(pending => ({ ...pending, marked: true }))
    for (const { item } of taken) this.marked.add(item)
    return taken
  }

  addMarked (pending: Pending): void {
    this.ready.push(pending)
  }

  /** Holds an item back. The returned function makes it ready, ahead of all others if `front` is set. */
  delay (pending: Pending, { front = false } = {}): () => void {
    if (pending.marked) this.marked.add(pending.item)
    this.delayed.add(pending)
    return () => {
      if (!this.delayed.delete(pending)) return
      if (front) this.ready.unshift(pending)
      else this.ready.push(pending)
    }
  }

  /** Returns the items with a started mark that aren't running. */
  listMarked (): readonly number[] {
    return [...this.marked]
  }

  clear (): void {
    this.ready.length = 0
    this.unmarked.length = 0
    this.delayed.clear()
  }
}
