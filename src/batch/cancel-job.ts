import type { Job } from './job.js'

/** Returns the job with its cancellation recorded, or the same job if it has ended or is being cancelled already. */
export function cancelJob (job: Job, date: number): Job {
  return job.status === 'in_progress' ? { ...job, status: 'cancelling', cancelled: date } : job
}
