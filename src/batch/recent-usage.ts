/** Time in ms in which a count halves. */
const HALF_LIFE = 600_000

/** Recent usage by callers and jobs, as counts that halve every ten minutes. */
export class RecentUsage {
  private readonly counts = new Map<string, { readonly value: number, readonly at: number }>()

  add (name: string, amount: number, now: number): void {
    this.counts.set(name, { value: this.get(name, now) + amount, at: now })
  }

  get (name: string, now: number): number {
    const count = this.counts.get(name)
    return count === undefined ? 0 : count.value * 0.5 ** ((now - count.at) / HALF_LIFE)
  }

  /** Removes counts that have decayed to less than 1. */
  prune (now: number): void {
    for (const name of this.counts.keys()) if (this.get(name, now) < 1) this.counts.delete(name)
  }
}
