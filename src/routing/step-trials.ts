import { rankOwners } from '../coordination/rank-owners.js'
import { failUnreachable } from '../kernel/unreachable.js'
import type { TrialsEvent } from './trials-event.js'
import type { TrialsState } from './trials-state.js'

/** How long an ask holds, ms; askers repeat theirs several times in that time. */
const ASK_TTL = 1_500
/** How long an ask waits for daemons that aren't ready, ms, where membership doubts that they are there. */
const SUSPECTED_READY_TIMEOUT = 1_000
/** How long it waits for the others: one that is busy for seconds may have a copy in flight, and not know of the suspect. */
const READY_TIMEOUT = 5_000
/** How long it is kept which daemons are ready, ms. */
const READY_TTL = 600_000

interface StepOptions {
  readonly now: number
  /** All daemons that may have copies in flight. */
  readonly daemons: readonly string[]
  /** Those of them that membership doesn't doubt; all when absent. */
  readonly alive?: readonly string[]
  /** Fingerprints that became suspect a moment ago: all daemons must know of them before any trial. */
  readonly recentSuspects?: readonly string[]
  /** Servers lost a moment ago, where no trial is given. */
  readonly lost?: readonly string[]
  /** Least time in ms from the first ask to the trial. */
  readonly pause?: number
}

interface Grant { readonly id: string, readonly server: string }

/**
 * Gives out trials: at most one suspect at a server at a time, and at most one request with the same fingerprint in
 * the whole fleet, so that a second loss has one suspect only. What was in flight when it became suspect counts like
 * a trial. No trial begins before every daemon knows of all that is newly suspect and has told what it has in flight:
 * otherwise one that hasn't heard of the crashing request sends a copy of it beside another suspect's trial, and that
 * one is quarantined for it. This is waited for five seconds, or one for daemons that membership doubts. Asks that are
 * no longer repeated lapse, so that a daemon that is gone holds nobody up.
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
  const { now, pause = 0, lost = [] } = options
  const running = new Map(state.running)
  const grants: Grant[] = []
  for (const { id, fingerprint, servers, since } of state.waiting) {
    if (now - since < pause || !isReady(state, fingerprint, now - since, options)) continue
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
