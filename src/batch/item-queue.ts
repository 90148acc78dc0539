/** What is known of an item between two runs. */
interface Pending {
  readonly item: number
  readonly attempts: number
  /** Servers that failed it. */
  readonly avoid: readonly string[]
  /** Whether its started mark has been asked for. */
  readonly marked: boolean
  /** Answer tokens of a run that gave way. */
  readonly tokens?: readonly string[]
}

/**
 * The items of one held chunk that wait to be run. Non-idempotent ones wait apart until their started mark is
 * durable; what is marked and not taken is known not to have run.
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

  /** Items to mark as started; `put` makes them ready once their mark is durable. */
  takeUnmarked (limit: number): readonly Pending[] {
    const taken = this.unmarked.splice(0, Math.max(0, limit)).map(pending => ({ ...pending, marked: true }))
    for (const { item } of taken) this.marked.add(item)
    return taken
  }

  addMarked (pending: Pending): void {
    this.ready.push(pending)
  }

  /** Keeps an item aside; the function it gives back makes it ready, before all others where `front` says so. */
  delay (pending: Pending, { front = false } = {}): () => void {
    if (pending.marked) this.marked.add(pending.item)
    this.delayed.add(pending)
    return () => {
      if (!this.delayed.delete(pending)) return
      if (front) this.ready.unshift(pending)
      else this.ready.push(pending)
    }
  }

  /** Items with a started mark that aren't running. */
  listMarked (): readonly number[] {
    return [...this.marked]
  }

  clear (): void {
    this.ready.length = 0
    this.unmarked.length = 0
    this.delayed.clear()
  }
}
