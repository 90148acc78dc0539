import { failUnreachable } from '../kernel/unreachable.js'
import type { OnlineCountsEvent } from './online-counts-event.js'
import type { OnlineCountsState } from './online-counts-state.js'

/**
 * How long a level counts that isn't told again, ms. Reporters repeat theirs every 5 s; one that can't reach us, and is
 * no dead member either, would otherwise hold batch back for good, the symptom being a server that stays idle.
 */
const REPORT_LIFETIME = 17_500
/** How long a message numbered lower than one before it is taken for a late one, ms. */
const REORDER_WINDOW = 3_500

/**
 * The next counts. Levels, not differences, are told: a lost or late frame is healed by the next one, and a message
 * older than the newest of its reporter is ignored, unless nothing newer came for 3.5 s: a reporter
 * that restarts with its clock set back would otherwise never be heard again, and batch not give way to its requests.
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

/** Copies only what the message changes. */
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
