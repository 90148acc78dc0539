import { findLineJob } from './find-line-job.js'
import { listLineParts } from './list-line-parts.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import type { TraceSubject } from './trace/trace-subject.js'

/**
 * Finds whether an id names a request, an item, a job, a server or a part of prompts, by the log fields that contain it. Returns undefined if
 * none does.
 *
 * @example
 * findSubject('cd1a93e9cb19cccf', lines) // { type: 'item', id: 'cd1a93e9cb19cccf', jobs: new Set(['d95e23c61a4bcd29']) }
 */
export function findSubject (id: string, lines: readonly LogLine[]): TraceSubject | undefined {
  const ofRequest = lines.filter(({ fields }) => fields.request === id || fields.stream === id)
  const ofJob = lines.filter(line => findLineJob(line) === id)
  if (ofJob.length > 0) return { type: 'job', id, items: new Set(ofJob.map(({ fields }) => fields.request).filter((item): item is string => typeof item === 'string' && item !== id)) }
  const jobs = new Set(ofRequest.map(findLineJob).filter(job => job !== undefined))
  if (jobs.size > 0) return { type: 'item', id, jobs }
  if (ofRequest.length > 0) return { type: 'request', id }
  if (lines.some(line => listLineServers(line).includes(id))) return { type: 'server', id }
  return lines.some(line => listLineParts(line).includes(id)) ? { type: 'part', id } : undefined
}
