import type { Job } from './job.js'

/** The job as its cancelling is accepted; the same job where it has ended or is being cancelled already. */
export function cancelJob (job: Job, date: number): Job {
  return job.status === 'in_progress' ? { ...job, status: 'cancelling', cancelled: date } : job
}
