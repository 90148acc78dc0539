import type { BatchPolicy } from '../src/ownership/batch-policy.js'

/** One way of letting batch work onto servers, by the letter that issue 4 gives it. */
export interface Policy {
  readonly letter: 'a' | 'b' | 'c' | 'd' | 'e'
  readonly name: string
  /** The daemons' setting; absent where no batch is submitted. */
  readonly batchPolicy?: BatchPolicy
}
