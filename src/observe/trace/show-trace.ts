import { showTimeline } from '../timeline/show-timeline.js'
import { showTraceHeader } from './show-trace-header.js'
import { showTraceNotes } from './show-trace-notes.js'
import type { Trace } from './trace.js'
import { traceLegend } from './trace-legend.js'

/** Formats a trace as text: header, legend, timeline and notes. */
export function showTrace (trace: Trace): string {
  return [
    showTraceHeader(trace),
    Object.values(traceLegend).map(({ symbol, meaning }) => `${symbol} ${meaning}`).join(', '),
    showTimeline(trace.events, { getMark: ({ kind }) => `${traceLegend[kind].symbol} ` }),
    ...showTraceNotes(trace)
  ].join('\n')
}
