import { buildTimelinePage } from './build-timeline-page.js'
import { drawBars } from './draw-bars.js'
import { escapeHtml } from './escape-html.js'
import { listLongestGaps } from './list-longest-gaps.js'
import { showTraceHeader } from './show-trace-header.js'
import { showTraceNotes } from './show-trace-notes.js'
import type { Trace } from './trace.js'
import { traceLegend } from './trace-legend.js'

/** Room for an instance and two sentences, px. */
const GAP_LABEL_WIDTH = 520
/** Marks an event that stands after one with a later stamp; its tooltip says why. */
const OUT_OF_ORDER = 'against its stamp'

/** A trace as one HTML page without scripts or outside files: the course, a lane an instance, and where its time went. */
export function buildTracePage (trace: Trace): string {
  const legend = Object.values(traceLegend).map(({ colour, meaning }) => `<span style="color:${colour}">&#9679;</span> ${escapeHtml(meaning)}`).join(' ')
  const gaps = listLongestGaps(trace.events)
  const bars = gaps.length === 0 ? '' : drawBars('Longest times between two lines of it', { rows: gaps.map(({ label, time }) => ({ label, values: [time] })), series: ['between two lines'], unit: 'ms', labelWidth: GAP_LABEL_WIDTH })
  const notes = showTraceNotes(trace).map(note => `<li>${escapeHtml(note)}</li>`).join('')
  const events = trace.events.map(event => event.inferred === undefined ? event : { ...event, what: `${event.what} (${OUT_OF_ORDER})` })
  return buildTimelinePage(`${trace.type} ${trace.id}`, events, {
    getColour: ({ kind }) => traceLegend[kind].colour,
    before: `<p>${escapeHtml(showTraceHeader(trace))}</p><p>${legend}</p>`,
    after: `<div>${bars}</div><ul>${notes}</ul>`
  })
}
