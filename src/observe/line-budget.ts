/** Lines of one kind that are written in a second; more are summed. */
const LINES_PER_SECOND = 60
const SECOND = 1_000

interface Window { start: number, written: number, left: number }

/**
 * Bounds the lines of each kind a second, so that load doesn't turn into logs: past the bound they are counted, and the
 * count is told when the second is over. `take` says whether a line may be written.
 */
export class LineBudget {
  private readonly windows = new Map<string, Window>()

  constructor (private readonly rate = LINES_PER_SECOND) {}

  take (kind: string, now: number): boolean {
    const known = this.windows.get(kind)
    const window = known === undefined || now >= known.start + SECOND ? { start: now, written: 0, left: known?.left ?? 0 } : known
    this.windows.set(kind, window)
    if (window.written >= this.rate) {
      window.left++
      return false
    }
    window.written++
    return true
  }

  /** Lines left out since the last call, by kind. */
  takeLeft (): ReadonlyMap<string, number> {
    const left = new Map<string, number>()
    for (const [kind, window] of this.windows) {
      if (window.left > 0) left.set(kind, window.left)
      window.left = 0
    }
    return left
  }
}
