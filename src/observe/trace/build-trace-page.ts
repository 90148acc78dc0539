import { buildTimelinePage } from '../timeline/build-timeline-page.js'
import { drawBars } from '../draw-bars.js'
import { escapeHtml } from '../escape-html.js'
import { listLongestGaps } from '../list-longest-gaps.js'
import { showTraceHeader } from './show-trace-header.js'
import { showTraceNotes } from './show-trace-notes.js'
import type { Trace } from './trace.js'
import { traceLegend } from './trace-legend.js'

/** Fits an instance name and two log messages, px. */
const GAP_LABEL_WIDTH = 520
/** Marks an event placed after one with a later timestamp; its tooltip gives the reason. */
const OUT_OF_ORDER = 'out of timestamp order'

/** Builds a self-contained HTML page without scripts from a trace: its timeline, its longest gaps and its notes. */
export function buildTracePage (trace: Trace): string {
  const legend = Object.values(traceLegend).map(({ colour, meaning }) => `<span style="color:${colour}">&#9679;</span> ${escapeHtml(meaning)}`).join(' ')
  const gaps = listLongestGaps(trace.events)
  const bars = gaps.length === 0 ? '' : drawBars('Longest gaps between two of its lines', { rows: gaps.map(({ label, time }) => ({ label, values: [time] })), series: ['gap'], unit: 'ms', labelWidth: GAP_LABEL_WIDTH })
  const notes = showTraceNotes(trace).map(note => `<li>${escapeHtml(note)}</li>`).join('')
  const events = trace.events.map(event => event.inferred === undefined ? event : { ...event, what: `${event.what} (${OUT_OF_ORDER})` })
  return buildTimelinePage(`${trace.type} ${trace.id}`, events, {
    getColour: ({ kind }) => traceLegend[kind].colour,
    before: `<p>${escapeHtml(showTraceHeader(trace))}</p><p>${legend}</p>`,
    after: `<div>${bars}</div><ul>${notes}</ul>`
  })
}
