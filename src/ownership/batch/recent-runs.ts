/** Most runs remembered. */
const MAX_RUNS = 4_096
/** How long an engine is assumed to keep the cache blocks of a preempted stream, ms. */
const CACHE_LIFETIME = 30_000

/** Servers on which batch items were last preempted, where their prefill is likely cached. */
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
