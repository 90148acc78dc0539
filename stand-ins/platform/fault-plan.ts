import { Random } from '../../src/kernel/random.js'
import type { PlatformFaults } from './platform-faults.js'

const DEFAULT_SEED = 1
/** Of delays, either way, as a fraction. */
const SPREAD = 0.25

/** Decides which calls the faults affect; deterministic for a seed and an order of calls. */
export class FaultPlan {
  private readonly random: Random

  constructor (readonly faults: PlatformFaults) {
    this.random = new Random(faults.seed ?? DEFAULT_SEED)
  }

  /** Draws the delay of a call before it takes effect, ms. */
  chooseDelay (): number {
    const { slowness = 0 } = this.faults
    return slowness === 0 ? 0 : this.random.spread(slowness, SPREAD)
  }

  /** Draws the outcome of an admitted write. */
  chooseWriteOutcome (): 'normal' | 'reply lost' | 'delayed' {
    const drawn = this.random.next()
    const { lostReplies = 0, delayedWrites } = this.faults
    if (drawn < lostReplies) return 'reply lost'
    return drawn < lostReplies + (delayedWrites?.share ?? 0) ? 'delayed' : 'normal'
  }

  /** Draws the time until a delayed write is applied, ms. */
  chooseWriteDelay (): number {
    const { delay, most = delay } = this.faults.delayedWrites!
    return most > delay ? delay + this.random.below(most - delay) : delay
  }

  /** Draws the age of the state that a read returns, ms; 0 is the present. */
  chooseReadAge (): number {
    const { oldReads } = this.faults
    return oldReads !== undefined && this.random.next() < oldReads.share ? oldReads.lag : 0
  }
}
