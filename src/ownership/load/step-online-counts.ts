import { failUnreachable } from '../../kernel/unreachable.js'
import type { OnlineCountsEvent } from './online-counts-event.js'
import type { OnlineCountsState } from './online-counts-state.js'

/**
 * How long counts are kept without a new report, ms. Reporters repeat theirs every 5 s; the counts of one that can't
 * reach this daemon, but is still a live member, would otherwise hold back batch work forever.
 */
const REPORT_LIFETIME = 17_500
/** How long a report with a lower number than the newest counts as reordered, ms. */
const REORDER_WINDOW = 3_500

/**
 * Returns the next counts. Reports carry absolute counts, so that the next report corrects a lost or late one. Reports
 * older than the newest of their reporter are ignored, but only for `REORDER_WINDOW`: a reporter that restarts with its
 * clock set back would otherwise be ignored forever, and batch would not give way to its requests.
 */
export function stepOnlineCounts (state: OnlineCountsState, event: OnlineCountsEvent, now: number): OnlineCountsState {
  switch (event.type) {
    case 'told': {
      const newest = state.newest.get(event.reporter)
      if (newest !== undefined && event.number <= newest.number && now - newest.receivedAt < REORDER_WINDOW) return state
      return { servers: applyReport(state.servers, event, now), newest: new Map(state.newest).set(event.reporter, { number: event.number, receivedAt: now }) }
    }
    case 'lost': return { ...state, servers: filterReports(state, reporter => reporter !== event.reporter) }
    case 'tick': return { ...state, servers: filterReports(state, (_reporter, receivedAt) => now - receivedAt < REPORT_LIFETIME) }
    default: return failUnreachable(event)
  }
}

type Servers = OnlineCountsState['servers']
type Reports = Servers extends ReadonlyMap<string, infer Reports> ? Reports : never

/** Copies only what the report changes. */
function applyReport (servers: Servers, { reporter, counts }: OnlineCountsEvent & { readonly type: 'told' }, now: number): Servers {
  const next = new Map(servers)
  for (const server of new Set([...servers.keys(), ...counts.keys()])) {
    const count = counts.get(server) ?? 0
    const reports = servers.get(server)
    if (count <= 0 && reports?.has(reporter) !== true) continue
    const changed = new Map(reports)
    if (count > 0) changed.set(reporter, { count, receivedAt: now })
    else changed.delete(reporter)
    if (changed.size > 0) next.set(server, changed)
    else next.delete(server)
  }
  return next
}

function filterReports ({ servers }: OnlineCountsState, keep: (reporter: string, receivedAt: number) => boolean): Servers {
  const kept = new Map<string, Reports>()
  for (const [server, reports] of servers) {
    const left = [...reports].filter(([reporter, { receivedAt }]) => keep(reporter, receivedAt))
    if (left.length > 0) kept.set(server, new Map(left))
  }
  return kept
}
