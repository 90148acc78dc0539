import { Random } from '../../src/kernel/random.js'
import type { PlatformFaults } from './platform-faults.js'

const DEFAULT_SEED = 1
const SPREAD = 0.25

/** Which calls the set faults hit. The same seed and the same order of calls give the same answer. */
export class FaultPlan {
  private readonly random: Random

  constructor (readonly faults: PlatformFaults) {
    this.random = new Random(faults.seed ?? DEFAULT_SEED)
  }

  /** How long a call is held back before it takes effect, in ms. */
  chooseDelay (): number {
    const { slowness = 0 } = this.faults
    return slowness === 0 ? 0 : this.random.spread(slowness, SPREAD)
  }

  /** What becomes of a write that was admitted. */
  chooseWriteOutcome (): 'normal' | 'reply lost' | 'delayed' {
    const drawn = this.random.next()
    const { lostReplies = 0, delayedWrites } = this.faults
    if (drawn < lostReplies) return 'reply lost'
    return drawn < lostReplies + (delayedWrites?.share ?? 0) ? 'delayed' : 'normal'
  }

  /** How old the state is that a read gets, in ms; 0 is the present. */
  chooseReadAge (): number {
    const { oldReads } = this.faults
    return oldReads !== undefined && this.random.next() < oldReads.share ? oldReads.lag : 0
  }
}
