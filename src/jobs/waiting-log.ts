import type { Clock } from '../kernel/clock.js'
import type { LogSink } from '../observe/log-sink.js'
import type { ItemState } from './item-state.js'
import type { OwnedJob } from './owned-job.js'
import { showWaitingReason } from './show-waiting-reason.js'
import type { WaitingReason } from './waiting-reason.js'

/** How long an item must have waited for one reason to be logged, ms. */
const REPORT_AFTER = 3_000
/** Interval between two lines for the same job and reason, ms. */
const REPORT_PERIOD = 10_000
/** Maximum number of ids in a line. */
const MAX_IDS = 20

interface Wait { readonly id: string, reason: WaitingReason, readonly since: number, /** Whether a line has named an earlier reason of the same wait. */ readonly isChanged: boolean, isReported: boolean }

/** Records for which reason each item waits and since when, and logs long waits and their changes. */
export class WaitingLog {
  private readonly waits = new WeakMap<ItemState, Wait>()
  private readonly writtenAt = new WeakMap<OwnedJob, Map<WaitingReason['type'], number>>()

  constructor (private readonly options: { readonly log: LogSink, readonly clock: Pick<Clock, 'now' | 'date'> }) {}

  /** Records the reason of an item; undefined if it doesn't wait. */
  record (state: ItemState, reason: WaitingReason | undefined): void {
    const known = this.waits.get(state)
    if (reason === undefined) this.waits.delete(state)
    else if (known === undefined || !isSame(known.reason, reason)) this.waits.set(state, { id: state.item.id, reason, since: this.options.clock.now(), isChanged: known?.isReported ?? false, isReported: false })
    else known.reason = reason
  }

  /** Returns the type of the reason for which an item waits, as last recorded. */
  find (state: ItemState): WaitingReason['type'] | undefined {
    return this.waits.get(state)?.reason.type
  }

  /** Logs for which reasons items of the job have waited for long, at most one line for each reason and period. */
  write (job: OwnedJob): void {
    const now = this.options.clock.now()
    const due = new Map<WaitingReason['type'], Wait[]>()
    for (const state of job.items) {
      const wait = this.waits.get(state)
      if (wait === undefined || (now < wait.since + REPORT_AFTER && !wait.isChanged)) continue
      const others = due.get(wait.reason.type)
      if (others === undefined) due.set(wait.reason.type, [wait])
      else others.push(wait)
    }
    for (const [type, waits] of due) this.writeReason(job, type, waits)
  }

  private writeReason (job: OwnedJob, type: WaitingReason['type'], waits: readonly Wait[]): void {
    const { log, clock } = this.options
    const now = clock.now()
    const written = this.writtenAt.get(job) ?? new Map<WaitingReason['type'], number>()
    if (now < (written.get(type) ?? -Infinity) + REPORT_PERIOD) return
    this.writtenAt.set(job, written.set(type, now))
    const first = waits.reduce((longest, wait) => wait.since < longest.since ? wait : longest)
    for (const wait of waits) wait.isReported = true
    log.write('info', 'jobs', 'items wait', { job: job.id, why: type, for: showWaitingReason(first.reason, now), since: new Date(clock.date() - (now - first.since)).toISOString(), waited: Math.round(now - first.since), count: waits.length, items: waits.slice(0, MAX_IDS).map(({ id }) => id) })
  }
}

function isSame (a: WaitingReason, b: WaitingReason): boolean {
  if (a.type !== b.type) return false
  if ('part' in a && 'part' in b) return a.part === b.part
  return !('version' in a && 'version' in b) || a.version === b.version
}
