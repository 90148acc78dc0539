import type { Heartbeat } from './heartbeat.js'

/** Age of the store's last word, as told by watchers, after which a daemon watches for itself, ms: one watch, a retry, and the way of the news. */
const MAX_ANSWER_AGE = 6_000
/** How much later than due a heartbeat may come, ms. */
const HEARTBEAT_TOLERANCE = 700

/** When this daemon heard the watchers that it relies on. Times in monotonic ms. */
export class WatcherContact {
  /** By kind, the latest moment at which the store is known to have answered a watcher. */
  private readonly answeredAt = new Map<string, number>()
  private receivedAt = -Infinity
  private nextDueBy = -Infinity

  /** Takes a watcher's news of a kind, which come with an answer of the store. */
  recordNotice (kind: string, now: number): void {
    this.answeredAt.set(kind, now)
  }

  recordHeartbeat ({ next, kinds }: Heartbeat, now: number): void {
    this.receivedAt = now
    this.nextDueBy = now + next + HEARTBEAT_TOLERANCE
    for (const [kind, { age }] of kinds) this.answeredAt.set(kind, Math.max(this.answeredAt.get(kind) ?? -Infinity, now - age))
  }

  /** The latest moment at which the store is known to have answered a watcher about the kind; -Infinity before the first. */
  findAnswerTime (kind: string): number {
    return this.answeredAt.get(kind) ?? -Infinity
  }

  /** Whether the watchers can't be relied on for a kind. One of an earlier version sends news alone, and no heartbeats. */
  isUnresponsive (kind: string, now: number): boolean {
    const isLate = now > this.nextDueBy && now <= this.receivedAt + MAX_ANSWER_AGE
    return isLate || now > this.findAnswerTime(kind) + MAX_ANSWER_AGE
  }
}
