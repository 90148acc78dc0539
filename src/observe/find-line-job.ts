import type { LogLine } from './log-line.js'

/** The job that a line is about: the answer to its submission names it as the request that it is. */
export function findLineJob ({ part, fields: { job, request } }: LogLine): string | undefined {
  const id = job ?? (part === 'jobs' ? request : undefined)
  return typeof id === 'string' ? id : undefined
}
