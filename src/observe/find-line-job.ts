import type { LogLine } from './log-line.js'

/** Returns the id of the job that a line is about. Lines of the part `jobs` may have it in `request`, as for its submission. */
export function findLineJob ({ part, fields: { job, request } }: LogLine): string | undefined {
  const id = job ?? (part === 'jobs' ? request : undefined)
  return typeof id === 'string' ? id : undefined
}
