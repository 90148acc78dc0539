import { failUnreachable } from '../kernel/unreachable.js'
import type { QuarantineEvent } from './quarantine-event.js'
import type { QuarantineState } from './quarantine-state.js'
import type { Suspect } from './suspect.js'

/** Losses of one server nearer together than this (ms) are one: several daemons tell of the same end. */
const SAME_LOSS = 5_000

interface Step { readonly state: QuarantineState, readonly accused: readonly string[] }

/**
 * Moves the quarantine on by one event. `accused` are the fingerprints that the event newly holds a loss against,
 * for the other daemons to hear. What is held against a fingerprint is a union of losses, so that daemons that hear
 * of the same losses in any order agree.
 */
export function stepQuarantine (state: QuarantineState, event: QuarantineEvent, { now, keep }: { readonly now: number, readonly keep: number }): Step {
  switch (event.type) {
    case 'began': {
      const { exchange, fingerprint, server } = event
      return { state: { ...state, inFlight: new Map(state.inFlight).set(exchange, { fingerprint, server }) }, accused: [] }
    }
    case 'ended': return { state: { ...state, inFlight: copyWithout(state.inFlight, event.exchange) }, accused: [] }
    case 'lost': {
      const there = [...state.inFlight.values()].filter(({ server }) => server === event.server)
      return accuse(state, there.map(({ fingerprint }) => fingerprint), event.server, { now, keep })
    }
    case 'accused': return accuse(state, event.fingerprints, event.server, { now, keep })
    case 'cleared': return { state: { ...state, suspects: copyWithout(state.suspects, event.fingerprint) }, accused: [] }
    default: return failUnreachable(event)
  }
}

function accuse (state: QuarantineState, fingerprints: readonly string[], server: string, { now, keep }: { readonly now: number, readonly keep: number }): Step {
  const suspects = new Map([...state.suspects].filter(([, { until }]) => until > now))
  const accused: string[] = []
  for (const fingerprint of new Set(fingerprints)) {
    const losses = suspects.get(fingerprint)?.losses ?? []
    if (losses.some(loss => loss.server === server && now - loss.at < SAME_LOSS)) continue
    accused.push(fingerprint)
    suspects.set(fingerprint, { losses: [...losses, { server, at: now }], until: now + keep } satisfies Suspect)
  }
  return { state: { ...state, suspects }, accused }
}

function copyWithout<K, V> (map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  const copy = new Map(map)
  copy.delete(key)
  return copy
}
