import type { RunRecord } from '../stand-ins/engine/run-record.js'
import type { IdleAccount } from './idle-account.js'

const ONLINE_PREFIX = 'load-'

interface AccountOptions {
  /** Start and end of the measured time, wall-clock ms. */
  readonly since: number
  readonly until: number
  readonly stepBase: number
  readonly stepPerSequence: number
  /** Sequences of a full batch, and the number of them that admission allows. */
  readonly full: number
  readonly allowed: number
}

type Change = { readonly at: number, readonly online: number, readonly batch: number }
type Loss = 'lateStart' | 'refill' | 'replacing'

/**
 * Breaks down the idle time of one engine from its log. The tokens of a run are assumed to be evenly spaced between its
 * first token and its end, because the log has no times in between.
 */
export function summarizeIdle (runs: readonly RunRecord[], options: AccountOptions): IdleAccount {
  const { since, until, full, allowed } = options
  const account = { idle: 0, possible: 0, given: 0, beside: 0, lateStart: 0, refill: 0, replacing: 0, headroom: 0 }
  const rate = (sequences: number): number => sequences === 0 ? 0 : sequences / (options.stepBase + options.stepPerSequence * (sequences - 1))
  let [online, batch, last] = [0, 0, since]
  let phase: Loss = 'lateStart'
  let started = 0
  for (const change of listChanges(runs, until)) {
    const span = Math.max(0, Math.min(change.at, until) - last)
    if (online === 0) {
      account.idle += span
      account.possible += span * rate(full)
      account[phase] += span * Math.max(0, rate(allowed) - rate(batch))
      account.headroom += span * (rate(full) - rate(Math.max(allowed, Math.min(batch, full))))
    }
    last = Math.max(last, Math.min(change.at, until))
    if (change.online !== 0) [phase, started] = ['lateStart', 0]
    online += change.online
    batch += change.batch
    if (online === 0 && change.batch > 0) started++
    if (started > 0 && phase === 'lateStart') phase = 'refill'
    if (online === 0 && batch >= allowed) phase = 'replacing'
  }
  const idleSpans = listIdleSpans(runs, since, until)
  for (const run of runs) {
    if (isOnline(run)) continue
    const given = countTokens(run, idleSpans, until)
    account.given += given
    account.beside += countTokens(run, [[since, until]], until) - given
  }
  const { possible, given, lateStart, refill, replacing, headroom } = account
  return { ...account, steps: possible - given - lateStart - refill - replacing - headroom }
}

function isOnline ({ requestId }: RunRecord): boolean {
  return requestId.startsWith(ONLINE_PREFIX)
}

function listChanges (runs: readonly RunRecord[], until: number): readonly Change[] {
  const changes = runs.flatMap(run => {
    const { at, endedAt = until } = run
    const [online, batch] = isOnline(run) ? [1, 0] : [0, 1]
    return [{ at, online, batch }, { at: endedAt, online: -online, batch: -batch }]
  })
  return [...changes.sort((a, b) => a.at - b.at), { at: until, online: 0, batch: 0 }]
}

function listIdleSpans (runs: readonly RunRecord[], since: number, until: number): ReadonlyArray<readonly [number, number]> {
  const spans: Array<readonly [number, number]> = []
  let busyUntil = since
  for (const { at, endedAt = until } of runs.filter(isOnline).sort((a, b) => a.at - b.at)) {
    if (at > busyUntil) spans.push([busyUntil, Math.min(at, until)])
    busyUntil = Math.max(busyUntil, endedAt)
  }
  return busyUntil < until ? [...spans, [busyUntil, until]] : spans
}

function countTokens ({ firstTokenAt, endedAt, tokens = 0 }: RunRecord, spans: ReadonlyArray<readonly [number, number]>, until: number): number {
  if (firstTokenAt === undefined) return 0
  const end = endedAt ?? until
  if (end <= firstTokenAt) return spans.some(([from, to]) => from <= end && end < to) ? tokens : 0
  const within = spans.reduce((sum, [from, to]) => sum + Math.max(0, Math.min(to, end) - Math.max(from, firstTokenAt)), 0)
  return tokens * within / (end - firstTokenAt)
}
