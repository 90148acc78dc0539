type Compare<T> = (a: T, b: T) => number

/** Items in the order of a comparison; equal ones in the order in which they were added. */
export class SortedList<T> {
  private readonly items: T[] = []

  constructor (private readonly compare: Compare<T>) {}

  get length (): number {
    return this.items.length
  }

  at (index: number): T | undefined {
    return this.items[index]
  }

  add (item: T): void {
    this.items.splice(this.countUpTo(item), 0, item)
  }

  /** Removes the item; returns whether it was in the list. */
  remove (item: T): boolean {
    const index = this.findIndex(item)
    if (index >= 0) this.items.splice(index, 1)
    return index >= 0
  }

  /** Returns the index of the item; -1 if it isn't in the list. */
  findIndex (item: T): number {
    for (let index = this.countBefore(item); index < this.items.length && this.compare(this.items[index]!, item) === 0; index++) {
      if (this.items[index] === item) return index
    }
    return -1
  }

  /** Counts the items that go before `item`. A coarser comparison than the list's may be given. */
  countBefore (item: T, compare = this.compare): number {
    return this.findBound(other => compare(other, item) < 0)
  }

  /** Counts the items that go before `item` or equal it. A coarser comparison than the list's may be given. */
  countUpTo (item: T, compare = this.compare): number {
    return this.findBound(other => compare(other, item) <= 0)
  }

  [Symbol.iterator] (): Iterator<T> {
    return this.items.values()
  }

  /** Returns the number of leading items for which `isBefore` holds. */
  private findBound (isBefore: (item: T) => boolean): number {
    let [low, high] = [0, this.items.length]
    while (low < high) {
      const middle = (low + high) >>> 1
      if (isBefore(this.items[middle]!)) low = middle + 1
      else high = middle
    }
    return low
  }
}
