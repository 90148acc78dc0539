/** Lines of one kind that are written in a second; more are summed. */
const MAX_LINES_PER_SECOND = 60
const SECOND = 1_000

interface Window { start: number, count: number, dropped: number }

/**
 * Bounds the lines of each kind a second, so that load doesn't turn into logs: past the bound they are counted, and the
 * count is told when the second is over. `take` says whether a line may be written.
 */
export class LogRateLimiter {
  private readonly windows = new Map<string, Window>()

  constructor (private readonly maxPerSecond = MAX_LINES_PER_SECOND) {}

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

  /** Lines left out since the last call, by kind. */
  takeDropped (): ReadonlyMap<string, number> {
    const dropped = new Map<string, number>()
    for (const [kind, window] of this.windows) {
      if (window.dropped > 0) dropped.set(kind, window.dropped)
      window.dropped = 0
    }
    return dropped
  }
}
