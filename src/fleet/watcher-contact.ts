import type { Heartbeat } from './heartbeat.js'

/** Age of the watchers' last answer from the store at which a daemon starts to watch, ms: one watch, a retry and latency. */
const MAX_ANSWER_AGE = 6_000
/** Permitted delay of a heartbeat, ms. */
const HEARTBEAT_TOLERANCE = 700

/** Tracks messages from the watchers that this daemon relies on. Times in monotonic ms. */
export class WatcherContact {
  /** Latest known answer of the store to a watcher, by kind. */
  private readonly answeredAt = new Map<string, number>()
  private nextDueBy: number | undefined

  /** Records a watcher's change notice of a kind, which implies an answer of the store. */
  recordNotice (kind: string, now: number): void {
    this.answeredAt.set(kind, now)
  }

  recordHeartbeat ({ next, kinds }: Heartbeat, now: number): void {
    this.nextDueBy = now + next + HEARTBEAT_TOLERANCE
    for (const [kind, { age }] of kinds) this.answeredAt.set(kind, Math.max(this.answeredAt.get(kind) ?? -Infinity, now - age))
  }

  /** Returns the time of the latest known answer of the store to a watcher about the kind; -Infinity before the first. */
  findAnswerTime (kind: string): number {
    return this.answeredAt.get(kind) ?? -Infinity
  }

  /** Returns whether the watchers can't be relied on for a kind. Watchers of an earlier version send change notices but no heartbeats. */
  isUnresponsive (kind: string, now: number): boolean {
    return this.isLate(now) || now > this.findAnswerTime(kind) + MAX_ANSWER_AGE
  }

  /** Returns whether heartbeats came and have stopped. */
  isLate (now: number): boolean {
    return now > (this.nextDueBy ?? Infinity)
  }
}
