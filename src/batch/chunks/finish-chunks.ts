import type { Counts } from '../counts.js'
import type { Job } from '../job.js'
import { listChunks } from './list-chunks.js'

/**
 * Returns the job with the counts of closed chunks added, ended if these were the last; the same job if it has them
 * already.
 */
export function finishChunks (job: Job, closed: ReadonlyMap<number, Counts>, date: number): Job {
  const added = [...closed].filter(([n]) => job.finished[n] === undefined)
  if (added.length === 0) return job
  const finished = { ...job.finished, ...Object.fromEntries(added) }
  if (Object.keys(finished).length < listChunks(job.services).length) return { ...job, finished }
  return { ...job, finished, ended: date, status: job.status === 'in_progress' ? 'completed' : 'cancelled' }
}
