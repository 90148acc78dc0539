import type { Random } from '../../kernel/random.js'
import { failUnreachable } from '../../kernel/unreachable.js'
import { membershipMessages } from './build-membership-message.js'
import type { MemberRecord } from './member-record.js'
import type { MembershipEffect } from './membership-effect.js'
import type { MembershipEvent } from './membership-event.js'
import type { MembershipMessage } from './membership-message.js'
import type { MembershipOptions } from './membership-options.js'
import type { MembershipState } from './membership-state.js'
import type { MembershipContext as Context } from './membership-context.js'
import { membershipDefaults } from './membership-defaults.js'
import { membershipOperations } from './membership-operations.js'
import type { MembershipStep as Step } from './membership-step.js'
import { mergeRecords } from './merge-records.js'
import { advanceMembership } from './advance-membership.js'

const { buildStep, sendTo, listOthers, chooseSome, setRecord } = membershipOperations

const JOIN_FANOUT = 3 // members

/**
 * Returns the next state of a member and the messages to send, any of which may be lost. Membership by random probes
 * (SWIM): the load of a member doesn't grow with their number. `now` is in monotonic ms. Does no I/O and throws
 * nothing.
 *
 * A live, reachable member doesn't stay dead: it learns of a suspicion from the first member that probes it and refutes
 * it by a new incarnation. A dead member is dropped by all, and returns only in a new incarnation.
 *
 * Source: Das, Gupta and Motivala, "SWIM", 2002; handling of local delays after Dadgar et al., "Lifeguard", 2017.
 *
 * @example
 * let state = createMembership({ name: 'entry-0', incarnation: Date.now(), data: { host: '10.0.0.1' }, now: clock.now() })
 * const next = stepMembership(state, { type: 'tick' }, { now: clock.now(), random })
 * state = next.state
 * for (const { to, message } of next.effects) links.send(to, message)
 */
export function stepMembership (state: MembershipState, event: MembershipEvent, { now, random, options = {} }: {
  readonly now: number
  readonly random: Random
  readonly options?: MembershipOptions
}): Step {
  const context = { now, random, options: { ...membershipDefaults, ...options } }
  switch (event.type) {
    case 'tick': return advanceMembership(state, context)
    case 'message': return handleMessage(state, event.from, event.message, context)
    case 'listed': return applyList(state, event.members, context)
    case 'paused': return dropView(state, event.incarnation, context)
    case 'ended': return buildStep(dropEnded(state, event, context))
    case 'updated': return updateSelf(state, { data: event.data }, context)
    case 'leave': return updateSelf(state, { leaving: true }, context)
    case 'end': return updateSelf(state, { status: 'dead' }, context)
    default: return failUnreachable(event)
  }
}

function sendState (state: MembershipState, to: string, want: boolean): MembershipEffect {
  const u = [...state.members.values()].filter(({ incarnation }) => incarnation > 0).map(membershipMessages.copyRecord)
  return { to, message: { type: 'state', want, u } }
}

function updateSelf (state: MembershipState, change: Partial<MemberRecord>, context: Context): Step {
  const self = state.members.get(state.self)!
  const next = setRecord(state, { ...self, ...change, incarnation: self.incarnation + 1, since: context.now })
  return sendToAll(next, context)
}

/**
 * Sends the member's own record to all others at once, as its changes are rare: 380 small messages
 * in a fleet of 380. The answers carry the new `sequence`, so that the caller can wait until all have it.
 */
function sendToAll (state: MembershipState, context: Context): Step {
  const self = state.members.get(state.self)!
  const n = state.sequence + 1
  const message: MembershipMessage = { type: 'ping', n, i: self.incarnation, h: membershipMessages.hashMembers(state.members), u: [membershipMessages.copyRecord(self)] }
  return { state: { ...state, sequence: n }, effects: listOthers(state, ['alive', 'suspect']).map(to => ({ to, message })) }
}

function applyList (state: MembershipState, listed: Extract<MembershipEvent, { type: 'listed' }>['members'], context: Context): Step {
  const others = listed.filter(({ name }) => name !== state.self)
  const fresh = others.filter(({ name }) => !state.members.has(name))
  const members = new Map(state.members)
  for (const { name, data } of fresh) members.set(name, { name, incarnation: 0, status: 'alive', leaving: false, data, since: context.now })
  const next = { ...state, members, listed: new Set(others.map(({ name }) => name)) }
  if (fresh.length === 0) return buildStep(next)
  const asked = chooseSome(fresh.map(({ name }) => name), JOIN_FANOUT, context.random)
  return { state: { ...next, settled: state.settled && state.members.size > 1 }, effects: asked.map(to => sendState(next, to, true)) }
}

/**
 * Drops the view of the other members after a pause, as it may be outdated: they are known by name only until they
 * answer.
 */
function dropView (state: MembershipState, incarnation: number, context: Context): Step {
  const { now, random } = context
  const members = new Map([...state.members].map(([name, record]) => {
    if (name === state.self) return [name, { ...record, incarnation, since: now }]
    return [name, record.status === 'dead' ? record : { ...record, incarnation: 0, status: 'alive' as const, since: now }]
  }))
  const reset = { ...state, members, rumors: new Map([[state.self, 0]]), probes: [], relays: [], round: [], tickedAt: now }
  const next = { ...reset, settled: listOthers(reset, ['alive']).length === 0 }
  return { state: next, effects: chooseSome(listOthers(next, ['alive']), JOIN_FANOUT, random).map(to => sendState(next, to, true)) }
}

/**
 * Marks a member as dead whose process has ended. A member that has restarted meanwhile has another incarnation and is
 * kept.
 */
function dropEnded (state: MembershipState, { name, incarnation }: Extract<MembershipEvent, { type: 'ended' }>, { now }: Context): MembershipState {
  const record = state.members.get(name)
  if (name === state.self || record === undefined || record.status === 'dead' || record.incarnation !== incarnation) return state
  return setRecord(state, { ...record, status: 'dead', since: now })
}

function handleMessage (state: MembershipState, from: string, message: MembershipMessage, context: Context): Step {
  const merged = mergeRecords(state, message.u, context.now)
  switch (message.type) {
    case 'state': {
      const next = { ...merged, settled: true }
      return { state: next, effects: message.want ? [sendState(next, from, false)] : [] }
    }
    case 'who': return sendTo(setRecord(merged, merged.members.get(merged.self)!), from, 'ack', 0, context)
    case 'ping': return addSync(sendTo(merged, from, 'ack', message.n, context), from, message, context)
    case 'ask': return relayProbe(merged, from, message, context)
    case 'ack': return addSync(handleAck(merged, message.n, context), from, message, context)
    default: return failUnreachable(message)
  }
}

/**
 * Requests the record of a member whose incarnation isn't known, and sends the full state, at most every `syncEvery`,
 * to one whose view differs.
 */
function addSync (step: Step, from: string, { i, h }: { readonly i: number, readonly h: number }, { now, options }: Context): Step {
  const unknown = (step.state.members.get(from)?.incarnation ?? 0) < i
  if (unknown) return { state: step.state, effects: [...step.effects, { to: from, message: { type: 'who', u: [] } }] }
  if (h === membershipMessages.hashMembers(step.state.members) || now - step.state.syncedAt < options.syncEvery) return step
  return { state: { ...step.state, syncedAt: now }, effects: [...step.effects, sendState(step.state, from, true)] }
}

function relayProbe (state: MembershipState, from: string, { of, n: toN }: { readonly of: string, readonly n: number }, context: Context): Step {
  const n = state.sequence + 1
  const relays = [...state.relays, { n, to: from, toN, at: context.now }]
  return sendTo({ ...state, sequence: n, relays }, of, 'ping', n, context)
}

function handleAck (state: MembershipState, n: number, context: Context): Step {
  const relay = state.relays.find(relay => relay.n === n)
  const next = { ...state, probes: state.probes.filter(probe => probe.n !== n), relays: state.relays.filter(relay => relay.n !== n) }
  return relay === undefined ? buildStep(next) : sendTo(next, relay.to, 'ack', relay.toN, context)
}
