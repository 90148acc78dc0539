import type { MemberRecord } from './member-record.js'

interface Probe { readonly n: number, readonly target: string, readonly at: number, readonly asked: boolean }

interface Relay { readonly n: number, readonly to: string, readonly toN: number, readonly at: number }

/** One member's view of all members, including itself. Changed only by `stepMembership`. */
export interface MembershipState {
  readonly self: string
  readonly members: ReadonlyMap<string, MemberRecord>
  /** Names of records still to be passed on, and how often each has been. */
  readonly rumors: ReadonlyMap<string, number>
  readonly listed: ReadonlySet<string>
  readonly probes: readonly Probe[]
  readonly relays: readonly Relay[]
  /** Members still to be probed in this round, in random order. */
  readonly round: readonly string[]
  readonly sequence: number
  readonly tickedAt: number
  readonly probedAt: number
  readonly syncedAt: number
  /** Whether it has received another member's view since it started or was paused, or knows no other member. */
  readonly settled: boolean
}
