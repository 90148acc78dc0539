import type { MemberRecord } from './member-record.js'
import type { MembershipMessage } from './membership-message.js'
import type { MembershipState } from './membership-state.js'

/**
 * How often a record is passed on, as a multiple of the logarithm of the number of members; it then almost surely
 * reaches all.
 */
const RETRANSMIT_FACTOR = 1.5
/** Space in a message of a record without data, some 30 bytes, relative to one with data, some 130. */
const SHORT_RECORD_SIZE = 0.25

type SentRecord = MembershipMessage['u'][number]

/** Returns the form in which a record is sent. */
function copyRecord ({ name, incarnation, status, leaving, data }: MemberRecord): SentRecord {
  return status === 'alive' ? [name, incarnation, status, leaving, data] : [name, incarnation, status, leaving]
}

/** Returns a hash of the live members and their incarnations; equal for members with the same view. */
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
 * Chooses the records to send with a message to `to`: those passed on least often, but first a record that marks `to`
 * itself as suspect or dead, so that it learns of this from the first member that probes it and can refute.
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
 * Returns the first rumors that fit into a message. Records of suspect and dead members are short; counting them as
 * such lets the loss of a whole failure domain spread quickly. With as few records a message as of live members, the loss of 63 of
 * 380 would be known to all only after half a minute.
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

/** Functions that build messages. */
export const membershipMessages = { copyRecord, hashMembers, chooseRumors }
