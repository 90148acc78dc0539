/** Weight of the newest delay. */
const WEIGHT = 0.1
/** Delays beyond so many usual ones are those of a peer that says nothing. */
const MULTIPLE = 5

interface TimeoutBounds {
  /** Shortest and longest time, ms, after which a peer counts as silent. */
  readonly least: number
  readonly most: number
}

/**
 * After how long without an answer a peer counts as silent, by how long answers usually take. Daemons that are short of processor time
 * answer after a tenth of a second and more; taken for silent each time, their brokers change and their items keep their slots.
 */
export class AdaptiveTimeout {
  private mean = 0

  constructor (private readonly bounds: TimeoutBounds) {}

  /** Notes one delay, ms. */
  record (delay: number): void {
    this.mean += WEIGHT * (delay - this.mean)
  }

  get timeout (): number {
    return Math.min(this.bounds.most, Math.max(this.bounds.least, MULTIPLE * this.mean))
  }
}
