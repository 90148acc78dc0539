import type { TimelineEvent } from './timeline-event.js'

/** How long before its first event what happened to servers and daemons may be the cause, ms. */
const LOOKBACK = 5_000

/**
 * The events of one request or job, and what happened to servers and daemons meanwhile. Why a request was refused or a
 * job stood still is often told only by these: a daemon that was killed records nothing itself.
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
