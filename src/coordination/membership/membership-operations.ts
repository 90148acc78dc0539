import type { Random } from '../../kernel/random.js'
import { membershipMessages } from './build-membership-message.js'
import type { MemberRecord } from './member-record.js'
import type { MembershipContext as Context } from './membership-context.js'
import type { MembershipState } from './membership-state.js'
import type { MembershipStep as Step } from './membership-step.js'

function buildStep (state: MembershipState): Step {
  return { state, effects: [] }
}

function sendTo (state: MembershipState, to: string, type: 'ping' | 'ack', n: number, { options }: Context): Step {
  const { state: next, u } = membershipMessages.chooseRumors(state, to, options.rumorsPerMessage)
  const { incarnation: i } = next.members.get(next.self)!
  return { state: next, effects: [{ to, message: { type, n, i, h: membershipMessages.hashMembers(next.members), u } }] }
}

function listOthers (state: MembershipState, statuses: readonly MemberRecord['status'][]): readonly string[] {
  return [...state.members.values()].filter(({ name, status }) => name !== state.self && statuses.includes(status)).map(({ name }) => name)
}

function chooseSome (names: readonly string[], count: number, random: Random): readonly string[] {
  const left = [...names]
  return Array.from({ length: Math.min(count, left.length) }, () => left.splice(random.below(left.length), 1)[0]!)
}

function setRecord (state: MembershipState, record: MemberRecord): MembershipState {
  return { ...state, members: new Map(state.members).set(record.name, record), rumors: new Map(state.rumors).set(record.name, 0) }
}

/** Basic operations on the membership state. */
export const membershipOperations = { buildStep, sendTo, listOthers, chooseSome, setRecord }
