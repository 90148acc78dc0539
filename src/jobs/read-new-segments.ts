import type { JobRecords } from './job-records.js'
import type { OwnedJob } from './owned-job.js'

/** How long after its beginning a pending read of the store is shared with further requests, ms: a later one needs a newer read. */
const SHARE_TIME = 200

interface ReadOptions {
  readonly records: Pick<JobRecords, 'readSegments'>
  /** Returns a function that returns the time of this call, monotonic ms; undefined if the process was paused in between. */
  readonly beginRead: () => () => number | undefined
  readonly now: number
}

/**
 * Adds the stored results that are missing in `job`. Requests that come close together share one read, so that many readers of a job cost as
 * much as one. Returns the number of segments that were added, or undefined where the store fails.
 */
export async function readNewSegments (job: OwnedJob, { records, beginRead, now }: ReadOptions): Promise<number | undefined> {
  if (job.reading !== undefined && now - job.reading.began <= SHARE_TIME) return await job.reading.added
  const reading = { began: now, added: readSegments(job, records, beginRead()) }
  job.reading = reading
  const added = await reading.added
  if (job.reading === reading) job.reading = undefined
  return added
}

async function readSegments (job: OwnedJob, records: ReadOptions['records'], findBegin: () => number | undefined): Promise<number | undefined> {
  const from = job.segmentCount
  const segments = await records.readSegments(job.id, from)
  if (segments.err) return undefined
  segments.val.forEach((results, i) => job.addSegment(from + i, results))
  job.readUntil = Math.max(job.readUntil, findBegin() ?? -Infinity)
  return segments.val.length
}
