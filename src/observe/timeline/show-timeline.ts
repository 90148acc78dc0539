import { formatOffset } from '../format-offset.js'
import type { TimelineEvent } from './timeline-event.js'

/** Width of the time column, in characters. */
const TIME_WIDTH = 11

interface ShowTimelineOptions<E> {
  /** Returns a prefix for the line of an event. */
  readonly getMark?: (event: E) => string
}

/** Formats a merged timeline as text, one line per event, with times in ms since the first event. */
export function showTimeline<E extends TimelineEvent> (events: readonly E[], { getMark = () => '' }: ShowTimelineOptions<E> = {}): string {
  const start = events[0]?.time ?? 0
  const width = Math.max(0, ...events.map(({ instance }) => instance.length))
  return events.map(event => {
    const time = `${formatOffset(event.time - start)} ms`.padStart(TIME_WIDTH)
    return getMark(event) + [time, event.instance.padEnd(width), `${event.part}: ${event.what}`, showSubject(event)].filter(Boolean).join('  ')
  }).join('\n')
}

function showSubject ({ request, job, server, detail }: TimelineEvent): string {
  return [
    request === undefined ? '' : `request=${request}`,
    job === undefined ? '' : `job=${job}`,
    server === undefined ? '' : `server=${server}`,
    detail ?? ''
  ].filter(Boolean).join(' ')
}
