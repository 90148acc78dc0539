import { isNewerRecord } from './is-newer-record.js'
import type { MemberRecord } from './member-record.js'
import type { MembershipMessage } from './membership-message.js'
import type { MembershipState } from './membership-state.js'

/**
 * Merges records of another member. Newer records are kept and passed on; a record that marks this member as suspect or
 * dead is refuted by a higher incarnation.
 */
export function mergeRecords (state: MembershipState, sent: MembershipMessage['u'], now: number): MembershipState {
  let members: Map<string, MemberRecord> | undefined
  let rumors: Map<string, number> | undefined
  for (const [name, incarnation, status, leaving, data] of sent) {
    const known = (members ?? state.members).get(name)
    const next = name === state.self
      ? rejectSuspicion(known!, incarnation, status)
      : filterRecord(known, { name, incarnation, status, leaving, data: data ?? known?.data ?? {}, since: now })
    if (next === undefined) continue
    members = (members ?? new Map(state.members)).set(name, { ...next, since: now })
    rumors = (rumors ?? new Map(state.rumors)).set(name, 0)
  }
  return members === undefined ? state : { ...state, members, rumors: rumors! }
}

function filterRecord (known: MemberRecord | undefined, next: MemberRecord): MemberRecord | undefined {
  return isNewerRecord(next, known) ? next : undefined
}

function rejectSuspicion (self: MemberRecord, incarnation: number, status: MemberRecord['status']): MemberRecord | undefined {
  if (status === 'alive' ? incarnation <= self.incarnation : incarnation < self.incarnation) return undefined
  return { ...self, incarnation: incarnation + 1 }
}
