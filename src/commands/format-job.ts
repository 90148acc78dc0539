import type { ShownJob } from './shown-job.js'

/** Formats a job in one line. */
export function formatJob ({ id, status, late, expires_at: due, estimated_completion_at: end, request_counts: counts }: ShownJob): string {
  const ended = `${counts.completed} completed, ${counts.failed} failed, ${counts.cancelled} cancelled of ${counts.total}`
  const expected = end === null ? '' : `, expected ${showTime(end)}`
  return `${id}  ${status}  ${ended}  due ${showTime(due)}${expected}${late ? '  late' : ''}`
}

function showTime (seconds: number): string {
  return new Date(seconds * 1_000).toISOString()
}
