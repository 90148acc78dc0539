import { showTimeline } from './show-timeline.js'
import { showTraceHead } from './show-trace-head.js'
import { showTraceNotes } from './show-trace-notes.js'
import type { Trace } from './trace.js'
import { traceMarks } from './trace-marks.js'

/** A trace as text: what the id names, each line with a mark, and what isn't shown. */
export function showTrace (trace: Trace): string {
  return [
    showTraceHead(trace),
    Object.values(traceMarks).map(({ sign, meaning }) => `${sign} ${meaning}`).join(', '),
    showTimeline(trace.events, { getMark: ({ kind }) => `${traceMarks[kind].sign} ` }),
    ...showTraceNotes(trace)
  ].join('\n')
}
