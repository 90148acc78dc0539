import { failUnreachable } from '../kernel/unreachable.js'
import { findLineJob } from './find-line-job.js'
import { listLineParts } from './list-line-parts.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import type { TraceSubject } from './trace/trace-subject.js'

/**
 * Checks whether a line belongs to the traced subject. An item includes the lines of its job that name no other item, or some items
 * without it that may not be all, a request those of attempts that resume its stream.
 */
export function isSubjectLine (line: LogLine, subject: TraceSubject): boolean {
  const { request, stream } = line.fields
  const job = findLineJob(line)
  switch (subject.type) {
    case 'request': return request === subject.id || stream === subject.id
    case 'item': return request === subject.id || (job !== undefined && subject.jobs.has(job) && (request === undefined || request === job) && mayConcern(line, subject.id))
    case 'job': return job === subject.id || (typeof request === 'string' && subject.items.has(request))
    case 'part': return listLineParts(line).includes(subject.id)
    case 'server': return listLineServers(line).includes(subject.id)
    default: return failUnreachable(subject)
  }
}

/** Whether a line of a job may be about the item: it lists no items, or this one, or fewer than it counts. */
function mayConcern ({ fields: { items, count } }: LogLine, id: string): boolean {
  return !Array.isArray(items) || items.includes(id) || Number(count) > items.length
}
