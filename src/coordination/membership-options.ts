/** Times in ms. Defaults keep a member under 1 KB a second each way at 380 members. */
export interface MembershipOptions {
  /** Time between two probes, each of another member. */
  readonly probeEvery?: number
  /** How long the probed member has to answer before others are asked to probe it. */
  readonly answerWithin?: number
  /** How long after the start of its probe a member that nobody got an answer from becomes suspect. */
  readonly suspectAfter?: number
  /** How long a suspect has to refute, for ten members; it grows with the logarithm of their number. */
  readonly deadAfter?: number
  /** How long a dead member is remembered, so that old news doesn't bring it back. */
  readonly forgetAfter?: number
  /** Members asked to probe another one. */
  readonly helpers?: number
  /** Records carried by one message. */
  readonly rumorsPerMessage?: number
  /** Least time between two whole states sent because another's view differs. */
  readonly syncEvery?: number
  /** A gap between two ticks above this is our own delay, not silence of the others. */
  readonly lateAfter?: number
}
