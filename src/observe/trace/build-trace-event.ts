import { findLineJob } from '../find-line-job.js'
import type { LogLine } from '../log-line.js'
import type { PickedLine } from '../picked-line.js'
import { showInputs } from '../show-inputs.js'
import type { TraceEvent } from './trace-event.js'

/** Builds a timeline event from a picked line. Its detail has the remaining log fields, the inputs and why it is out of timestamp order. */
export function buildTraceEvent ({ line, kind, inputs }: PickedLine, inferred: string | undefined): TraceEvent {
  const { request, server } = line.fields
  const job = findLineJob(line)
  const shownInputs = inputs === undefined ? '' : showInputs(inputs)
  const detail = [formatFields(line), shownInputs === '' ? '' : `[based on ${shownInputs}]`, inferred === undefined ? '' : `(${inferred})`].filter(Boolean).join(' ')
  return {
    time: line.time,
    instance: line.instance,
    part: line.part,
    what: line.message,
    ...typeof request === 'string' && request !== job && { request },
    ...job !== undefined && { job },
    ...typeof server === 'string' && { server },
    ...detail !== '' && { detail },
    kind,
    level: line.level,
    fields: line.fields,
    place: `${line.file}:${line.number}`,
    ...inputs !== undefined && { inputs },
    ...inferred !== undefined && { inferred }
  }
}

function formatFields ({ fields: { request, job, server, ...rest } }: LogLine): string {
  return Object.entries(rest).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
}
