import type { SentJob } from './sent-job.js'
import type { SoakRecord } from './soak-record.js'
import { soakSize } from './soak-size.js'

/** Interval at which the runs are looked at, ms. */
const SAMPLE_PERIOD = 100

/** Checks that no accepted job whose cancellation wasn't asked for has items without a result that no server runs for long while servers are under half full. */
export function checkLying (record: SoakRecord): readonly string[] {
  return record.jobs.filter(({ acceptedAt, endAskedAt, endedAt }) => acceptedAt !== undefined && endAskedAt === undefined && endedAt === undefined).flatMap(job => checkJob(job, record))
}

function checkJob ({ id, items, reads }: SentJob, { runs, calmFrom, endedAt }: SoakRecord): readonly string[] {
  const own = new Set(items)
  const completeAt = reads.find(({ results }) => results.length === items.length)?.at ?? endedAt
  const isRunning = (run: SoakRecord['runs'][number], at: number): boolean => run.at <= at && at < run.at + (run.events + 1) * soakSize.pause + SAMPLE_PERIOD
  let since = calmFrom
  for (let at = calmFrom; at < completeAt; at += SAMPLE_PERIOD) {
    const running = runs.filter(run => isRunning(run, at))
    if (running.some(run => own.has(run.id)) || running.length >= soakSize.engines * soakSize.slots / 2) since = at
    if (at - since > soakSize.lyingBound) return [`${id}: no server ran any of its items for ${at - since} ms from ${since} ms on, with room for them`]
  }
  return []
}
