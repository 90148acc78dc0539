import type { TimelineEvent } from './timeline/timeline-event.js'

/** Server and daemon events up to this long before the first event may be its cause, ms. */
const LOOKBACK = 5_000

/**
 * Filters the events of one request or job, and the server and daemon events around them. A killed daemon records nothing
 * itself, so only the latter show why a request was refused or a job made no progress.
 */
export function filterRelatedEvents (events: readonly TimelineEvent[]): readonly TimelineEvent[] {
  const own = events.filter(isSubjectEvent)
  const first = own[0]
  if (first === undefined) return []
  const servers = new Set(own.map(({ server }) => server))
  return events.filter(event => isSubjectEvent(event) || (event.time >= first.time - LOOKBACK && event.time <= own.at(-1)!.time && mayBeCause(event, servers)))
}

function isSubjectEvent ({ request, job }: TimelineEvent): boolean {
  return request !== undefined || job !== undefined
}

function mayBeCause ({ part, server, what }: TimelineEvent, servers: ReadonlySet<string | undefined>): boolean {
  if (server === undefined) return part === 'peers'
  return servers.has(server) || what === 'server down' || what === 'server lost'
}
