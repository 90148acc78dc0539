import type { ClaimEffect } from './claim-effect.js'
import type { ClaimEvent } from './claim-event.js'
import { claimDefaults } from './claim-defaults.js'
import type { ClaimOptions } from './claim-options.js'
import type { ClaimState } from './claim-state.js'

interface Step { readonly state: ClaimState, readonly effects: readonly ClaimEffect[] }

/**
 * Returns the next state of a claim, kept in one object of a store with conditional updates, and the calls to make to
 * the store. A claim costs one write when its holder changes and none while it is held; before an action that needs a
 * proof, the holder sends `confirm`, which costs another write. The object's version is the fencing number: it only
 * grows, and two holders never have the same. `isClaimProven` and `isClaimSettled` return what the state permits.
 *
 * It doesn't decide who should hold the claim; use `rankOwners` for example. Errors of the store arrive as `failed`
 * events, and the call is repeated after `retryPause` ms as long as the claim is wanted.
 *
 * Source: fencing tokens after Burrows, "The Chubby lock service", 2006; leases after Gray and Cheriton, 1989.
 *
 * @example
 * let { state, effects } = stepClaim({ type: 'idle', attempt: 0 }, { type: 'want' }, 0, { self: 'entry-1/17' })
 * effects // [{ type: 'read', attempt: 1 }]
 */
export function stepClaim (state: ClaimState, event: ClaimEvent, now: number, options: ClaimOptions): Step {
  switch (event.type) {
    case 'want': return state.type === 'idle' ? readAgain(state) : keep(state)
    case 'release': return keep({ type: 'idle', attempt: state.attempt + 1 })
    case 'read': return handleRead(state, event, now, options)
    case 'written': return handleWritten(state, event, now, options)
    case 'failed': return handleFailed(state, event, now, options)
    case 'confirm': return confirm(state, now)
    case 'paused': return state.type === 'idle' ? keep(state) : readAgain(state)
    case 'tick': return handleTick(state, now, options)
  }
}

function keep (state: ClaimState): Step {
  return { state, effects: [] }
}

function readAgain ({ attempt }: ClaimState): Step {
  return { state: { type: 'reading', attempt: attempt + 1 }, effects: [{ type: 'read', attempt: attempt + 1 }] }
}

function handleRead (state: ClaimState, event: ClaimEvent & { type: 'read' }, now: number, { self }: ClaimOptions): Step {
  if (event.attempt !== state.attempt) return keep(state)
  if (state.type === 'held') return event.holder === self ? keep(state) : readAgain(state)
  if (state.type !== 'reading') return keep(state)
  const attempt = state.attempt + 1
  return { state: { type: 'writing', attempt, sentAt: now }, effects: [{ type: 'write', attempt, version: event.version }] }
}

/**
 * A new claim starts now even if the holder's name is the same: after a lost reply or a pause, another candidate may
 * have held it in between, and its last action may still be on the way.
 */
function handleWritten (state: ClaimState, { attempt, version }: ClaimEvent & { type: 'written' }, now: number, options: ClaimOptions): Step {
  if (attempt !== state.attempt) return keep(state)
  const checkAt = now + (options.checkPeriod ?? claimDefaults.checkPeriod)
  if (state.type === 'writing') return keep({ type: 'held', attempt, version, confirmedAt: state.sentAt, takenAt: now, checkAt })
  if (state.type !== 'held' || state.confirming === undefined) return keep(state)
  return keep({ ...state, version, confirmedAt: state.confirming, confirming: undefined, checkAt })
}

function handleFailed (state: ClaimState, { attempt }: ClaimEvent & { type: 'failed' }, now: number, options: ClaimOptions): Step {
  if (attempt !== state.attempt || state.type === 'idle') return keep(state)
  const until = now + (options.retryPause ?? claimDefaults.retryPause)
  // A check without an answer proves nothing; a confirming write that failed may have lost the claim.
  if (state.type === 'held' && state.confirming === undefined) return keep({ ...state, checkAt: until })
  return keep({ type: 'waiting', attempt, until })
}

function confirm (state: ClaimState, now: number): Step {
  if (state.type !== 'held' || state.confirming !== undefined) return keep(state)
  const attempt = state.attempt + 1
  return { state: { ...state, attempt, confirming: now }, effects: [{ type: 'write', attempt, version: state.version }] }
}

function handleTick (state: ClaimState, now: number, options: ClaimOptions): Step {
  if (state.type === 'waiting' && now >= state.until) return readAgain(state)
  if (state.type !== 'held' || state.confirming !== undefined || now < state.checkAt) return keep(state)
  const attempt = state.attempt + 1
  const checkAt = now + (options.checkPeriod ?? claimDefaults.checkPeriod)
  return { state: { ...state, attempt, checkAt }, effects: [{ type: 'read', attempt }] }
}
