import { failUnreachable } from '../kernel/unreachable.js'
import type { QuarantineEvent } from './quarantine-event.js'
import type { QuarantineState } from './quarantine-state.js'
import type { ServerLoss } from './server-loss.js'
import type { Suspect } from './suspect.js'

/** Losses of one server within this time (ms) count as one, as several daemons report the same exit. */
const SAME_LOSS_WINDOW = 5_000
/** Factor by which the passes needed to clear a suspect grow with each earlier loss. */
const PASS_GROWTH = 4

interface Step { readonly state: QuarantineState, readonly accused: readonly string[] }

interface StepOptions { readonly now: number, readonly keep: number }

/**
 * Applies one event to the quarantine's state. `accused` are the fingerprints to which the event adds a loss, to be
 * published to the other daemons. The losses of a fingerprint form a set, so that daemons which receive the same losses in
 * any order agree.
 *
 * An exchange isn't accused if none of its bytes was sent, or if it began after the loss was first detected: a request sent
 * to a server that is just exiting didn't cause the loss.
 *
 * A request that crashes servers only sometimes passes some of its trials. One pass clears a suspect; if it becomes suspect
 * again it needs four, then sixteen, and a loss among these quarantines it.
 */
export function stepQuarantine (state: QuarantineState, event: QuarantineEvent, options: StepOptions): Step {
  switch (event.type) {
    case 'began': {
      const { exchange, fingerprint, server } = event
      return { state: { ...state, inFlight: new Map(state.inFlight).set(exchange, { fingerprint, server, began: options.now }) }, accused: [] }
    }
    case 'ended': return { state: { ...state, inFlight: copyWithout(state.inFlight, event.exchange) }, accused: [] }
    case 'lost': return applyLoss(state, event, options)
    case 'accused': {
      const { fingerprints, server, ago = 0 } = event
      return accuse(recordLoss(state, server, options.now - ago), fingerprints, { server, at: options.now - ago }, options)
    }
    case 'passed': return { state: countPass(state, event.fingerprint), accused: [] }
    case 'released': return { state: { ...state, suspects: copyWithout(state.suspects, event.fingerprint) }, accused: [] }
    default: return failUnreachable(event)
  }
}

function applyLoss (state: QuarantineState, { server, unsent, ago = 0 }: Extract<QuarantineEvent, { readonly type: 'lost' }>, options: StepOptions): Step {
  const recorded = recordLoss(state, server, options.now - ago)
  const firstAt = recorded.lost.get(server)!
  const candidates = [...recorded.inFlight].filter(([exchange, other]) => other.server === server && other.began <= firstAt && unsent?.has(exchange) !== true)
  return accuse(recorded, candidates.map(([, { fingerprint }]) => fingerprint), { server, at: firstAt }, options)
}

function recordLoss (state: QuarantineState, server: string, at: number): QuarantineState {
  const known = state.lost.get(server) ?? -Infinity
  if (at - known < SAME_LOSS_WINDOW) return state
  return { ...state, lost: new Map(state.lost).set(server, at) }
}

function accuse (state: QuarantineState, fingerprints: readonly string[], loss: ServerLoss, { now, keep }: StepOptions): Step {
  const suspects = new Map([...state.suspects].filter(([, { until }]) => until > now))
  const accused: string[] = []
  for (const fingerprint of new Set(fingerprints)) {
    const { losses = [], clearedLosses = [] } = suspects.get(fingerprint) ?? {}
    if ([...losses, ...clearedLosses].some(other => other.server === loss.server && Math.abs(loss.at - other.at) < SAME_LOSS_WINDOW)) continue
    accused.push(fingerprint)
    suspects.set(fingerprint, { losses: [...losses, loss], clearedLosses, passes: 0, until: now + keep })
  }
  return { state: { ...state, suspects }, accused }
}

function countPass (state: QuarantineState, fingerprint: string): QuarantineState {
  const suspect = state.suspects.get(fingerprint)
  if (suspect === undefined || suspect.losses.length === 0) return state
  const passes = suspect.passes + 1
  const cleared = passes >= PASS_GROWTH ** (suspect.clearedLosses.length + suspect.losses.length - 1)
  const next: Suspect = cleared ? { ...suspect, losses: [], clearedLosses: [...suspect.clearedLosses, ...suspect.losses], passes: 0 } : { ...suspect, passes }
  return { ...state, suspects: new Map(state.suspects).set(fingerprint, next) }
}

function copyWithout<K, V> (map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  const copy = new Map(map)
  copy.delete(key)
  return copy
}
