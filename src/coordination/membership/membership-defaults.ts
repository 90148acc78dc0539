import type { MembershipOptions } from './membership-options.js'

/** Defaults of `MembershipOptions`; times in ms. */
export const membershipDefaults: Required<MembershipOptions> = {
  probeEvery: 500,
  answerWithin: 400,
  suspectAfter: 1_000,
  deadAfter: 2_500,
  forgetAfter: 600_000,
  helpers: 3,
  rumorsPerMessage: 6,
  syncEvery: 30_000,
  lateAfter: 700
}
