import { failUnreachable } from '../../kernel/unreachable.js'
import { isSameLoss } from './is-same-loss.js'
import { mergeSuspect } from './merge-suspect.js'
import type { QuarantineEvent } from './quarantine-event.js'
import type { QuarantineState } from './quarantine-state.js'
import type { ServerLoss } from './server-loss.js'
import type { Suspect } from './suspect.js'

/** Factor by which the passes needed to clear a suspect grow with each earlier loss. */
const PASS_GROWTH = 4
const UNKNOWN: Suspect = { losses: [], clearedLosses: [], releasedLosses: [], passes: 0, until: -Infinity }

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
    case 'released': return { state: release(state, event.fingerprint), accused: [] }
    case 'merged': return { state: merge(state, event, options), accused: [] }
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
  if (at < known || isSameLoss({ server, at }, { server, at: known })) return state
  return { ...state, lost: new Map(state.lost).set(server, at) }
}

function accuse (state: QuarantineState, fingerprints: readonly string[], loss: ServerLoss, { now, keep }: StepOptions): Step {
  const suspects = new Map([...state.suspects].filter(([, { until }]) => until > now))
  const accused: string[] = []
  for (const fingerprint of new Set(fingerprints)) {
    const suspect = suspects.get(fingerprint) ?? UNKNOWN
    const { losses, clearedLosses, releasedLosses, until } = suspect
    if ([...losses, ...clearedLosses, ...releasedLosses].some(other => isSameLoss(other, loss))) continue
    accused.push(fingerprint)
    const sorted = [...losses, loss].sort((a, b) => a.at - b.at)
    suspects.set(fingerprint, { ...suspect, losses: sorted, passes: 0, until: Math.max(until, loss.at + keep) })
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

/** Keeps the losses of a released fingerprint, so that another daemon's outdated record doesn't accuse it again. */
function release (state: QuarantineState, fingerprint: string): QuarantineState {
  const suspect = state.suspects.get(fingerprint)
  if (suspect === undefined) return state
  const { losses, clearedLosses, releasedLosses } = suspect
  return { ...state, suspects: new Map(state.suspects).set(fingerprint, { ...suspect, losses: [], clearedLosses: [], releasedLosses: [...releasedLosses, ...clearedLosses, ...losses], passes: 0 }) }
}

function merge (state: QuarantineState, { fingerprint, received }: Extract<QuarantineEvent, { readonly type: 'merged' }>, { keep }: StepOptions): QuarantineState {
  const known = state.suspects.get(fingerprint) ?? UNKNOWN
  const merged = mergeSuspect(known, received)
  const until = Math.max(known.until, ...[...merged.clearedLosses, ...merged.releasedLosses].map(({ at }) => at + keep))
  if (until === -Infinity) return state
  return { ...state, suspects: new Map(state.suspects).set(fingerprint, { ...merged, until }) }
}

function copyWithout<K, V> (map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  const copy = new Map(map)
  copy.delete(key)
  return copy
}
