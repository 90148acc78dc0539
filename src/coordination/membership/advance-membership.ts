import { membershipMessages } from './build-membership-message.js'
import type { MembershipContext as Context } from './membership-context.js'
import { membershipOperations } from './membership-operations.js'
import type { MembershipState } from './membership-state.js'
import type { MembershipStep as Step } from './membership-step.js'

/** One tick in this many also pings a listed member that counts as dead, so that a healed partition is noticed. */
const PING_DEAD_ONE_IN = 25

const { buildStep, sendTo, listOthers, chooseSome, setRecord } = membershipOperations

/**
 * Moves all deadlines after a delay of this process's own event loop: messages that others sent meanwhile are still
 * unread in its sockets.
 */
function advanceDeadlines (state: MembershipState, { now, options }: Context): MembershipState {
  const gap = now - state.tickedAt
  if (gap <= options.lateAfter) return { ...state, tickedAt: now }
  const members = new Map([...state.members].map(([name, record]) => [name, { ...record, since: record.since + gap }]))
  return { ...state, members, tickedAt: now, probes: state.probes.map(probe => ({ ...probe, at: probe.at + gap })) }
}

/**
 * Handles the passage of time: checks unanswered probes, asks other members to probe their targets, probes the next
 * member and occasionally pings one that counts as dead.
 */
export function advanceMembership (state: MembershipState, context: Context): Step {
  let step: Step = buildStep(checkMembers(advanceDeadlines(state, context), context))
  const add = (run: (state: MembershipState, context: Context) => Step): void => {
    const next = run(step.state, context)
    step = { state: next.state, effects: [...step.effects, ...next.effects] }
  }
  add(askHelpers)
  add(endProbes)
  add(beginProbe)
  add(askDeadMember)
  return step
}

/** Marks suspects that didn't refute in time as dead, and removes members that have been dead for long. */
function checkMembers (state: MembershipState, { now, options }: Context): MembershipState {
  const deadAfter = options.deadAfter * Math.max(1, Math.log10(state.members.size))
  let next = state
  for (const record of state.members.values()) {
    if (record.name === state.self) continue
    if (record.status === 'suspect' && now - record.since >= deadAfter) next = setRecord(next, { ...record, status: 'dead', since: now })
    if (record.status === 'dead' && now - record.since >= options.forgetAfter) next = removeMember(next, record.name)
  }
  const unconfirmed = [...next.members.values()].some(({ incarnation, status }) => incarnation === 0 && status !== 'dead')
  return next.settled || unconfirmed ? next : { ...next, settled: true }
}

function removeMember (state: MembershipState, name: string): MembershipState {
  const members = new Map(state.members)
  const rumors = new Map(state.rumors)
  members.delete(name)
  rumors.delete(name)
  return { ...state, members, rumors }
}

function askHelpers (state: MembershipState, { now, random, options }: Context): Step {
  const late = state.probes.filter(({ asked, at }) => !asked && now - at >= options.answerWithin)
  if (late.length === 0) return buildStep(state)
  const { incarnation: i } = state.members.get(state.self)!
  const h = membershipMessages.hashMembers(state.members)
  const effects = late.flatMap(({ n, target }) => {
    const helpers = listOthers(state, ['alive']).filter(name => name !== target)
    return chooseSome(helpers, options.helpers, random).map(to => ({ to, message: { type: 'ask' as const, n, i, h, of: target, u: [] } }))
  })
  return { state: { ...state, probes: state.probes.map(probe => late.includes(probe) ? { ...probe, asked: true } : probe) }, effects }
}

function endProbes (state: MembershipState, { now, options }: Context): Step {
  const failed = state.probes.filter(({ at }) => now - at >= options.suspectAfter)
  const probes = state.probes.filter(probe => !failed.includes(probe))
  const relays = state.relays.filter(({ at }) => now - at < options.suspectAfter)
  let next: MembershipState = { ...state, probes, relays }
  for (const { target } of failed) {
    const record = next.members.get(target)
    if (record?.status === 'alive') next = setRecord(next, { ...record, status: 'suspect', since: now })
  }
  return buildStep(next)
}

/** Probes all members in turn, in a new random order each round, so that each is probed once a round. */
function beginProbe (state: MembershipState, context: Context): Step {
  const { now, random, options } = context
  if (now - state.probedAt < options.probeEvery) return buildStep(state)
  const left = state.round.filter(name => ['alive', 'suspect'].includes(state.members.get(name)?.status ?? 'dead'))
  const round = left.length > 0 ? left : chooseSome(listOthers(state, ['alive', 'suspect']), Infinity, random)
  const target = round[0]
  if (target === undefined) return buildStep({ ...state, probedAt: now })
  const n = state.sequence + 1
  const probes = [...state.probes, { n, target, at: now, asked: false }]
  return sendTo({ ...state, round: round.slice(1), sequence: n, probes, probedAt: now }, target, 'ping', n, context)
}

function askDeadMember (state: MembershipState, context: Context): Step {
  if (context.random.below(PING_DEAD_ONE_IN) > 0) return buildStep(state)
  const dead = listOthers(state, ['dead']).filter(name => state.listed.has(name))
  const [target] = chooseSome(dead, 1, context.random)
  return target === undefined ? buildStep(state) : sendTo(state, target, 'ping', 0, context)
}
