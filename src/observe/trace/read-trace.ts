import { Err, Ok, type Result } from 'ts-results'
import { failUnreachable } from '../../kernel/unreachable.js'
import { buildTraceEvent } from './build-trace-event.js'
import { findSubject } from '../find-subject.js'
import { findTraceScope } from './find-trace-scope.js'
import { isSubjectLine } from '../is-subject-line.js'
import { LinePicker } from '../line-picker.js'
import { listClockSkews } from '../timeline/list-clock-skews.js'
import { listLogFiles } from '../list-log-files.js'
import { listOrderConstraints } from '../timeline/list-order-constraints.js'
import type { LogLine } from '../log-line.js'
import type { LogSurvey } from '../log-survey.js'
import { orderLines } from '../timeline/order-lines.js'
import { readLogs } from '../read-logs.js'
import { readSurvey } from '../read-survey.js'
import type { Trace } from './trace.js'
import type { TraceError } from './trace-error.js'
import type { TraceSubject } from './trace-subject.js'

interface ReadTraceOptions {
  /** Contains the logs of all instances, one JSON object per line. Subfolders are read too. */
  readonly folder: string
  /** The id of a request, an item, a job or a backend server. */
  readonly id: string
}

/**
 * Reads the trace of an id from the logs of all instances, in causal order. The logs are streamed, up to three times, so that
 * they may be larger than the memory. Returns an error if there is no such folder, no log in it or no line with the id.
 *
 * @example
 * await readTrace({ folder: 'logs', id: 'cd1a93e9cb19cccf' })
 */
export async function readTrace ({ folder, id }: ReadTraceOptions): Promise<Result<Trace, TraceError>> {
  const listed = listLogFiles(folder)
  if (listed.err) return Err({ type: 'no folder', detail: listed.val })
  const survey = await readSurvey({ folder, files: listed.val, id })
  const { files, lines, instances, mentions, unread } = survey
  if (lines === 0) return Err({ type: 'no log', files: listed.val.length, unread })
  const subject = findSubject(id, mentions)
  if (subject === undefined) return Err({ type: 'unknown id', lines, instances: new Set(instances.values()).size, unread })
  const scope = findTraceScope(await readSubjectLines(folder, subject, survey), { subject, instances })
  const picker = new LinePicker({ subject, scope, history: survey.history })
  for await (const line of readLogs({ folder, files })) picker.observe(line)
  return Ok(buildTrace(subject, picker, { survey, servers: [...scope.servers].sort(), instances: [...scope.timesByInstance.keys()].sort() }))
}

/** Reads the lines of the subject. Those of an item's job and of a job's items may lack its id, so they take a second pass. */
async function readSubjectLines (folder: string, subject: TraceSubject, { files, mentions }: LogSurvey): Promise<readonly LogLine[]> {
  if (subject.type === 'request' || subject.type === 'server' || subject.type === 'part') return mentions
  const lines: LogLine[] = []
  for await (const line of readLogs({ folder, files })) if (isSubjectLine(line, subject)) lines.push(line)
  return lines
}

function buildTrace (subject: TraceSubject, picker: LinePicker, { survey, servers, instances }: { readonly survey: LogSurvey } & Pick<Trace, 'servers' | 'instances'>): Trace {
  const pickedByLine = new Map(picker.picked.map(one => [one.line, one]))
  const lines = [...pickedByLine.keys()]
  const constraints = listOrderConstraints(lines, survey.instances)
  return {
    id: subject.id,
    type: subject.type,
    related: listRelated(subject),
    instances,
    servers,
    events: orderLines(lines, constraints).map(({ line, inferred }) => buildTraceEvent(pickedByLine.get(line)!, inferred)),
    counted: picker.listOmitted(),
    clocks: listClockSkews(constraints),
    unread: survey.unread
  }
}

function listRelated (subject: TraceSubject): readonly string[] {
  switch (subject.type) {
    case 'item': return [...subject.jobs]
    case 'job': return [...subject.items]
    case 'request':
    case 'part':
    case 'server': return []
    default: return failUnreachable(subject)
  }
}
