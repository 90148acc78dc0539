import type { Random } from '../../kernel/random.js'
import type { MembershipOptions } from './membership-options.js'

/** Inputs of a step; `now` in monotonic ms. */
export interface MembershipContext {
  readonly now: number
  readonly random: Random
  readonly options: Required<MembershipOptions>
}
