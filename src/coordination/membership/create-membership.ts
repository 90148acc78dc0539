import type { MemberRecord } from './member-record.js'
import type { MembershipState } from './membership-state.js'

/**
 * Creates the state of a member that starts and knows only itself. `incarnation` must be higher than in all of its
 * earlier runs.
 */
export function createMembership ({ name, incarnation, data, now }: {
  readonly name: string
  readonly incarnation: number
  readonly data: MemberRecord['data']
  readonly now: number
}): MembershipState {
  const self: MemberRecord = { name, incarnation, status: 'alive', leaving: false, data, since: now }
  return {
    self: name,
    members: new Map([[name, self]]),
    rumors: new Map([[name, 0]]),
    listed: new Set(),
    probes: [],
    relays: [],
    round: [],
    sequence: 0,
    tickedAt: now,
    probedAt: now,
    syncedAt: -Infinity,
    settled: true
  }
}
