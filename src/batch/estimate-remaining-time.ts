import { addCounts } from './add-counts.js'
import type { Job } from './job.js'

/** Estimates the time in ms that the rest of a job needs at its average pace so far; 0 before its first result. */
export function estimateRemainingTime (job: Job, date: number): number {
  const { completed, failed, cancelled } = addCounts(Object.values(job.finished))
  const done = completed + failed + cancelled
  return done === 0 ? 0 : (job.items - done) * Math.max(0, date - job.created) / done
}
