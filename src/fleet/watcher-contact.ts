import type { Heartbeat } from './heartbeat.js'

/** Age of the store's last word, as told by watchers, after which a daemon watches for itself, ms: one watch, a retry, and the way of the news. */
const SILENCE = 6_000
/** How much later than due a heartbeat may come, ms. */
const LATE = 700

/** When this daemon heard the watchers that it relies on. Times in monotonic ms. */
export class WatcherContact {
  /** By kind, the latest moment at which the store is known to have answered a watcher. */
  private readonly answeredAt = new Map<string, number>()
  private heardAt = -Infinity
  private nextBy = -Infinity

  /** Takes a watcher's news of a kind, which come with an answer of the store. */
  observeNews (kind: string, now: number): void {
    this.answeredAt.set(kind, now)
  }

  observeHeartbeat ({ next, kinds }: Heartbeat, now: number): void {
    this.heardAt = now
    this.nextBy = now + next + LATE
    for (const [kind, { age }] of kinds) this.answeredAt.set(kind, Math.max(this.answeredAt.get(kind) ?? -Infinity, now - age))
  }

  /** The latest moment at which the store is known to have answered a watcher about the kind; -Infinity before the first. */
  findAnswer (kind: string): number {
    return this.answeredAt.get(kind) ?? -Infinity
  }

  /** Whether the watchers can't be relied on for a kind. One of an earlier version sends news alone, and no heartbeats. */
  isSilent (kind: string, now: number): boolean {
    const isLate = now > this.nextBy && now <= this.heardAt + SILENCE
    return isLate || now > this.findAnswer(kind) + SILENCE
  }
}
