/**
 * Options of membership. Times in ms. With the defaults, each of 380 members sends and receives less than 1 KB per
 * second.
 */
export interface MembershipOptions {
  /** Time between two probes, each to another member. */
  readonly probeEvery?: number
  /** How long a probed member may take to answer before others are asked to probe it. */
  readonly answerWithin?: number
  /** How long after the start of its probe a member becomes suspect if no answer has arrived. */
  readonly suspectAfter?: number
  /** How long a suspect may take to refute, for ten members; it grows with the logarithm of their number. */
  readonly deadAfter?: number
  /** How long a dead member is remembered, so that old records don't bring it back. */
  readonly forgetAfter?: number
  /** Number of members asked to probe another one. */
  readonly helpers?: number
  /** Most records in one message. */
  readonly rumorsPerMessage?: number
  /** Least time between two full states sent because views differ. */
  readonly syncEvery?: number
  /** A gap between two ticks above this is a delay of this process, not of the other members. */
  readonly lateAfter?: number
}
