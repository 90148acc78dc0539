import { buildTimelinePage } from './build-timeline-page.js'
import { drawBars } from './draw-bars.js'
import { escapeHtml } from './escape-html.js'
import { listWaits } from './list-waits.js'
import { showTraceHead } from './show-trace-head.js'
import { showTraceNotes } from './show-trace-notes.js'
import type { Trace } from './trace.js'
import { traceMarks } from './trace-marks.js'

/** Room for an instance and two sentences, px. */
const WAIT_LABEL_WIDTH = 520
/** Marks an event that stands after one with a later stamp; its tooltip says why. */
const AGAINST_STAMP = 'against its stamp'

/** A trace as one HTML page without scripts or outside files: the course, a lane an instance, and where its time went. */
export function buildTracePage (trace: Trace): string {
  const legend = Object.values(traceMarks).map(({ colour, meaning }) => `<span style="color:${colour}">&#9679;</span> ${escapeHtml(meaning)}`).join(' ')
  const waits = listWaits(trace.events)
  const bars = waits.length === 0 ? '' : drawBars('Longest times between two lines of it', { rows: waits.map(({ label, time }) => ({ label, values: [time] })), series: ['between two lines'], unit: 'ms', labelWidth: WAIT_LABEL_WIDTH })
  const notes = showTraceNotes(trace).map(note => `<li>${escapeHtml(note)}</li>`).join('')
  const events = trace.events.map(event => event.inferred === undefined ? event : { ...event, what: `${event.what} (${AGAINST_STAMP})` })
  return buildTimelinePage(`${trace.type} ${trace.id}`, events, {
    getColour: ({ kind }) => traceMarks[kind].colour,
    before: `<p>${escapeHtml(showTraceHead(trace))}</p><p>${legend}</p>`,
    after: `<div>${bars}</div><ul>${notes}</ul>`
  })
}
