import type { MemberRecord } from './member-record.js'
import type { MembershipMessage } from './membership-message.js'
import type { MembershipState } from './membership-state.js'

/** How often a record is passed on, times the logarithm of the number of members: it then reaches all but surely. */
const RETRANSMIT_FACTOR = 1.5
/** Room that a record without its data takes of a message, against one with it: some 30 bytes against 130. */
const SHORT_RECORD_SIZE = 0.25

type SentRecord = MembershipMessage['u'][number]

/** Turns a record into what is sent. */
function copyRecord ({ name, incarnation, status, leaving, data }: MemberRecord): SentRecord {
  return status === 'alive' ? [name, incarnation, status, leaving, data] : [name, incarnation, status, leaving]
}

/** A hash of who is there and in which incarnation: equal in two members that see the same. */
function hashMembers (members: ReadonlyMap<string, MemberRecord>): number {
  let sum = 0
  for (const { name, incarnation, status } of members.values()) {
    if (status === 'dead' || incarnation === 0) continue
    let hash = incarnation % 0x7fffffff
    for (let i = 0; i < name.length; i++) hash = (Math.imul(hash, 31) + name.charCodeAt(i)) | 0
    sum = (sum + hash) | 0
  }
  return sum
}

/**
 * Builds what goes with a message to `to`: the records told least often, and first of all what `to` should hear of
 * itself, so that a suspect learns of it from the first who probes it and can refute.
 */
function chooseRumors (state: MembershipState, to: string, limit: number): { readonly state: MembershipState, readonly u: readonly SentRecord[] } {
  const about = state.members.get(to)
  const first = about !== undefined && about.status !== 'alive' ? [copyRecord(about)] : []
  if (state.rumors.size === 0) return { state, u: first }
  const maxCount = Math.ceil(RETRANSMIT_FACTOR * Math.log2(state.members.size + 1))
  const chosen = limitRumors(state, [...state.rumors].filter(([name]) => name !== to).sort((a, b) => a[1] - b[1]), limit - first.length)
  const rumors = new Map(state.rumors)
  for (const [name, count] of chosen) {
    if (count + 1 >= maxCount) rumors.delete(name)
    else rumors.set(name, count + 1)
  }
  return { state: { ...state, rumors }, u: [...first, ...chosen.map(([name]) => copyRecord(state.members.get(name)!))] }
}

/**
 * The first that there is room for. Suspects and dead take little: with as many records a message as of the living, the
 * loss of a failure domain, 63 of 380 at once, was known to all after half a minute.
 */
function limitRumors (state: MembershipState, rumors: ReadonlyArray<readonly [string, number]>, limit: number): ReadonlyArray<readonly [string, number]> {
  let room = limit
  const taken: Array<readonly [string, number]> = []
  for (const rumor of rumors) {
    room -= state.members.get(rumor[0])!.status === 'alive' ? 1 : SHORT_RECORD_SIZE
    if (room < 0) break
    taken.push(rumor)
  }
  return taken
}

/** The parts that messages are built from. */
export const membershipMessages = { copyRecord, hashMembers, chooseRumors }
