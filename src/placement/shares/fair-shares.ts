/**
 * Divides the slots of a server group between flows, one for each caller, by their shares while requests wait.
 *
 * The service of a request starts, in virtual time, when its flow's one before ends, but not before the start of the request served last.
 * Serving the earliest start first gives each waiting flow slot time in proportion to its share. What others leave unused is lent: a
 * flow that was alone isn't charged later, because virtual time moves on with its requests. The state can be lost at any time; all
 * flows then begin alike.
 *
 * Load pattern: for some seconds one or more callers send many times their usual, beside others that stay below their share.
 *
 * Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1996.
 *
 * @example
 * const shares = new FairShares(caller => caller === 'desk' ? 2 : 1)
 * shares.recordStart('desk', 200)
 * shares.recordStart('kitchen', 100)
 * shares.findStart('desk') === shares.findStart('kitchen') // each has had its share
 */
export class FairShares {
  /** Virtual time: the start of the request served last. */
  private now = 0
  /** Virtual end of the last request of each flow. */
  private readonly ends = new Map<string, number>()

  constructor (private readonly findShare: (flow: string) => number) {}

  /** Returns the start of the flow's next request in virtual time. */
  findStart (flow: string): number {
    return Math.max(this.now, this.ends.get(flow) ?? 0)
  }

  /** Returns the virtual time that a request of the size takes. */
  estimateLength (flow: string, size: number): number {
    return size / this.findShare(flow)
  }

  /** Whether the flow has had its share or more of what was served last. */
  isUsed (flow: string): boolean {
    return (this.ends.get(flow) ?? 0) > this.now
  }

  /** Records that a request of the size has got a slot. */
  recordStart (flow: string, size: number): void {
    const start = this.findStart(flow)
    this.now = start
    this.ends.set(flow, start + this.estimateLength(flow, size))
  }

  /** Forgets flows without a claim; returns how many are left. */
  dropIdle (): number {
    for (const [flow, end] of this.ends) if (end <= this.now) this.ends.delete(flow)
    return this.ends.size
  }
}
