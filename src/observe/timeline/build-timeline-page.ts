import { escapeHtml } from '../escape-html.js'
import { formatOffset } from '../format-offset.js'
import type { TimelineEvent } from './timeline-event.js'

const ROW_HEIGHT = 22 // px
const LANE_WIDTH = 170 // px
const TIME_WIDTH = 90 // px
const HEADER_HEIGHT = 30 // px
const DOT_COLOUR = '#36c'

const STYLE = 'body{font:13px system-ui,sans-serif;margin:1.5em;color:#222}text{font:12px system-ui,sans-serif}line{stroke:#ccc}.time{fill:#777}'

interface TimelinePageOptions<E> {
  /** Returns the colour of an event's dot. */
  readonly getColour?: (event: E) => string
  /** HTML between the title and the timeline. */
  readonly before?: string
  /** HTML after the timeline. */
  readonly after?: string
}

/** Builds a self-contained HTML page without scripts from a merged timeline: one lane per instance, time runs downwards. */
export function buildTimelinePage<E extends TimelineEvent> (title: string, events: readonly E[], { getColour = () => DOT_COLOUR, before = '', after = '' }: TimelinePageOptions<E> = {}): string {
  const lanes = [...new Set(events.map(({ instance }) => instance))].sort()
  const width = TIME_WIDTH + lanes.length * LANE_WIDTH
  const height = HEADER_HEIGHT + (events.length + 1) * ROW_HEIGHT
  const shapes = [
    ...lanes.map((lane, i) => drawLane(lane, i, height)),
    ...events.map((event, row) => drawEvent(event, row, lanes.indexOf(event.instance), { start: events[0]!.time, colour: getColour(event) }))
  ]
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title><style>${STYLE}</style>` +
    `<h1>${escapeHtml(title)}</h1>${before}<svg width="${width}" height="${height}" role="img">${shapes.join('')}</svg>${after}</html>\n`
}

function drawLane (lane: string, i: number, height: number): string {
  const x = TIME_WIDTH + i * LANE_WIDTH
  return `<text x="${x}" y="16" font-weight="bold">${escapeHtml(lane)}</text><line x1="${x}" x2="${x}" y1="22" y2="${height}"/>`
}

function drawEvent (event: TimelineEvent, row: number, lane: number, { start, colour }: { readonly start: number, readonly colour: string }): string {
  const x = TIME_WIDTH + lane * LANE_WIDTH
  const y = HEADER_HEIGHT + (row + 1) * ROW_HEIGHT
  const tooltip = [event.request, event.job, event.server, event.detail].filter(value => value !== undefined).join(' ')
  return `<g><title>${escapeHtml(tooltip)}</title><text class="time" x="0" y="${y}">${formatOffset(event.time - start)}</text>` +
    `<circle fill="${colour}" cx="${x}" cy="${y - 4}" r="4"/><text x="${x + 8}" y="${y}">${escapeHtml(`${event.part}: ${event.what}`)}</text></g>`
}
