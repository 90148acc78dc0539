/** Lines of one kind beyond this are dropped. */
const MAX_LINES_PER_SECOND = 60
const SECOND = 1_000

interface Window { start: number, count: number, dropped: number }

/** Limits the log lines of each kind per second, and counts those that it refuses. */
export class LogRateLimiter {
  private readonly windows = new Map<string, Window>()

  constructor (private readonly maxPerSecond = MAX_LINES_PER_SECOND) {}

  /** Returns whether a line of this kind may be written at `now`, monotonic ms. */
  tryAcquire (kind: string, now: number): boolean {
    const known = this.windows.get(kind)
    const window = known === undefined || now >= known.start + SECOND ? { start: now, count: 0, dropped: known?.dropped ?? 0 } : known
    this.windows.set(kind, window)
    if (window.count >= this.maxPerSecond) {
      window.dropped++
      return false
    }
    window.count++
    return true
  }

  /** Returns the number of lines dropped since the last call, by kind, and resets it. */
  takeDropped (): ReadonlyMap<string, number> {
    const dropped = new Map<string, number>()
    for (const [kind, window] of this.windows) {
      if (window.dropped > 0) dropped.set(kind, window.dropped)
      window.dropped = 0
    }
    return dropped
  }
}
