/** Runs remembered at most. */
const MAX_RUNS = 4_096
/** How long an engine is taken to keep the blocks of a stream that gave way, ms. */
const CACHE_LIFETIME = 30_000

/** Where batch items last gave way, so that their prefill there is known to be cheap. */
export class RecentRuns {
  private readonly runs = new Map<string, { readonly server: string, readonly at: number }>()

  record (item: string, server: string, at: number): void {
    this.runs.delete(item)
    this.runs.set(item, { server, at })
    for (const oldest of this.runs.keys()) {
      if (this.runs.size <= MAX_RUNS) return
      this.runs.delete(oldest)
    }
  }

  isCached (item: string, server: string, now: number): boolean {
    const run = this.runs.get(item)
    return run?.server === server && now < run.at + CACHE_LIFETIME
  }
}
