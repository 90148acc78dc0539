import { addCounts } from './add-counts.js'
import { estimateRemainingTime } from './estimate-remaining-time.js'
import type { Job } from './job.js'

const MS_PER_SECOND = 1_000

/**
 * Formats a job in the OpenAI shape. Adds `request_counts.cancelled` and, while the job runs,
 * `estimated_completion_at` and `late`: whether it will miss its due time at its pace so far. A late job isn't ended.
 */
export function showJob (job: Job, date: number): unknown {
  const counts = addCounts(Object.values(job.finished))
  const remainingTime = estimateRemainingTime(job, date)
  const running = job.status === 'in_progress'
  return {
    id: job.id,
    object: 'batch',
    endpoint: job.endpoint,
    errors: null,
    input_file_id: job.file,
    completion_window: `${Math.round((job.due - job.created) / 60_000)}m`.replace(/^(\d+)m$/, (_, minutes) => minutes % 60 === 0 ? `${minutes / 60}h` : `${minutes}m`),
    status: job.status,
    output_file_id: job.ended === undefined ? null : `${job.id}.output`,
    error_file_id: job.ended === undefined ? null : `${job.id}.errors`,
    created_at: formatSeconds(job.created),
    in_progress_at: formatSeconds(job.created),
    expires_at: formatSeconds(job.due),
    cancelling_at: formatSeconds(job.cancelled),
    completed_at: job.status === 'completed' ? formatSeconds(job.ended) : null,
    cancelled_at: job.status === 'cancelled' ? formatSeconds(job.ended) : null,
    request_counts: { total: job.items, ...counts },
    estimated_completion_at: running && remainingTime > 0 ? formatSeconds(date + remainingTime) : null,
    late: running && Math.max(date, date + remainingTime) > job.due,
    metadata: job.metadata ?? null
  }
}

function formatSeconds (time: number | undefined): number | null {
  return time === undefined ? null : Math.floor(time / MS_PER_SECOND)
}
