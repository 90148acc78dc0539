import { rankOwners } from '../../coordination/rank-owners.js'
import { failUnreachable } from '../../kernel/unreachable.js'
import type { TrialsEvent } from './trials-event.js'
import type { TrialsState } from './trials-state.js'

/** Time after which an ask, hold or trial expires unless it is repeated, ms; daemons repeat theirs several times in it. */
const ASK_TTL = 1_500
/** Longest wait of an ask for daemons that aren't ready and that membership suspects, ms. */
const SUSPECTED_READY_TIMEOUT = 1_000
/** Longest wait for the others, ms. A daemon that is busy for seconds may have a copy in flight and not know of the suspect. */
const READY_TIMEOUT = 5_000
/** How long a daemon's readiness for a suspect is kept, ms. */
const READY_TTL = 600_000

interface StepOptions {
  readonly now: number
  /** All daemons, as any may have copies in flight. */
  readonly daemons: readonly string[]
  /** Those that membership doesn't suspect; all when absent. */
  readonly alive?: readonly string[]
  /** Fingerprints that recently became suspect. All daemons must know of them before any trial. */
  readonly recentSuspects?: readonly string[]
  /** Recently lost servers, where no trial is granted. */
  readonly lost?: readonly string[]
  /** Shortest time from the first ask to the trial, ms. */
  readonly trialDelay?: number
}

interface Grant { readonly id: string, readonly server: string }

/**
 * Grants trials: at most one suspect per server at a time, and at most one request per fingerprint in the whole fleet, so
 * that a second loss has a single suspect. An exchange that was in flight when its request became suspect counts like a
 * trial.
 *
 * No trial begins until every daemon knows of all recent suspects and has reported its exchanges in flight. Otherwise a
 * daemon that doesn't know of the crashing request could send a copy to the server of another suspect's trial, and that
 * suspect would be quarantined. The wait has a timeout, a shorter one for daemons that membership suspects. Asks expire
 * unless repeated, so that a daemon that has exited blocks no others.
 */
export function stepTrials (state: TrialsState, event: TrialsEvent, options: StepOptions): { readonly state: TrialsState, readonly grants: readonly Grant[] } {
  const { now } = options
  const running = new Map([...state.running].filter(([, { until }]) => until > now))
  const waiting = state.waiting.filter(({ until }) => until > now)
  const ready = new Map([...state.ready].filter(([, { until }]) => until > now))
  switch (event.type) {
    case 'done':
      running.delete(event.id)
      return grant({ running, waiting: waiting.filter(({ id }) => id !== event.id), ready }, options)
    case 'ask': {
      const { id, fingerprint, servers } = event
      const granted = running.get(id)
      if (granted !== undefined) {
        running.set(id, { ...granted, until: now + ASK_TTL })
        return { state: { running, waiting, ready }, grants: [{ id, server: granted.server }] }
      }
      const known = waiting.find(other => other.id === id)
      const ask = { id, fingerprint, servers, since: known?.since ?? now, until: now + ASK_TTL }
      return grant({ running, waiting: known === undefined ? [...waiting, ask] : waiting.map(other => other.id === id ? ask : other), ready }, options)
    }
    case 'hold': {
      const { id, fingerprint, server } = event
      return { state: { running: running.set(id, { fingerprint, server, until: now + ASK_TTL }), waiting, ready }, grants: [] }
    }
    case 'ready':
      for (const fingerprint of event.fingerprints) {
        ready.set(fingerprint, { daemons: new Set([...ready.get(fingerprint)?.daemons ?? [], event.daemon]), until: now + READY_TTL })
      }
      return grant({ running, waiting, ready }, options)
    default: return failUnreachable(event)
  }
}

function grant (state: TrialsState, options: StepOptions): { readonly state: TrialsState, readonly grants: readonly Grant[] } {
  const { now, trialDelay = 0, lost = [] } = options
  const running = new Map(state.running)
  const grants: Grant[] = []
  for (const { id, fingerprint, servers, since } of state.waiting) {
    if (now - since < trialDelay || !isReady(state, fingerprint, now - since, options)) continue
    const taken = [...running.values()]
    if (taken.some(other => other.fingerprint === fingerprint)) continue
    const server = rankOwners(fingerprint, servers).find(name => !lost.includes(name) && !taken.some(other => other.server === name))
    if (server === undefined) continue
    running.set(id, { fingerprint, server, until: now + ASK_TTL })
    grants.push({ id, server })
  }
  return { state: { ...state, running, waiting: state.waiting.filter(({ id }) => !running.has(id)) }, grants }
}

function isReady ({ ready }: TrialsState, fingerprint: string, waited: number, { daemons, alive = daemons, recentSuspects = [] }: StepOptions): boolean {
  if (waited >= READY_TIMEOUT) return true
  const needed = waited < SUSPECTED_READY_TIMEOUT ? daemons : alive
  return [fingerprint, ...recentSuspects].every(suspect => needed.every(daemon => ready.get(suspect)?.daemons.has(daemon)))
}
