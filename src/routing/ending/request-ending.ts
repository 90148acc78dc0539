import type { Refusal } from '../../admission/refusal.js'
import type { Clock } from '../../kernel/clock.js'
import type { Random } from '../../kernel/random.js'
import type { RoutedRequest } from '../routed-request.js'
import { buildEndRefusal } from './build-end-refusal.js'
import type { Ending } from './ending.js'

interface RequestEndingOptions {
  readonly request: RoutedRequest
  readonly tools: { readonly clock: Clock, readonly random: Random, readonly ending: Ending }
  /** Whether it can still be refused as not run. */
  readonly mayRefuse: () => boolean
  readonly getRan: () => Refusal['ran']
  /** Ends its sends and its wait. */
  readonly abort: () => void
}

/** What the planned end of this process means for one request, and how long its run took, by which later ones are judged. */
export class RequestEnding {
  /** When a server got the request first, monotonic ms. */
  private sentAt: number | undefined
  private isGivenUp = false

  constructor (private readonly options: RequestEndingOptions) {}

  /** Gives the request up when the process ends, until the returned function is called. */
  watch (): () => void {
    return this.options.tools.ending.watchEnd(() => this.giveUp())
  }

  /** Waits for a slot for as long as the request may start before this process ends. */
  async wait<T> (waitForSlot: () => Promise<T>): Promise<T | Refusal> {
    const { request, tools: { ending }, mayRefuse } = this.options
    const late = this.refuseLate()
    if (late !== undefined) return late
    const stop = ending.watchStart(request, () => { if (mayRefuse()) this.giveUp() })
    try {
      return await waitForSlot()
    } finally {
      stop()
    }
  }

  /** Returns a refusal where the request may no longer start. */
  refuseLate (): Refusal | undefined {
    const { request, tools: { ending }, mayRefuse } = this.options
    return mayRefuse() && ending.isTooLate(request) ? this.refuse() : undefined
  }

  /** Returns why the request isn't served: `reason`, unless it was given up here. */
  findReason (reason: Refusal): Refusal {
    return this.isGivenUp ? this.refuse() : reason
  }

  beginRun (): void {
    this.sentAt ??= this.options.tools.clock.now()
  }

  recordRun (): void {
    const { request: { route }, tools: { clock, ending } } = this.options
    if (this.sentAt !== undefined) ending.times.record(route, clock.now() - this.sentAt)
  }

  private giveUp (): void {
    this.isGivenUp = true
    this.options.abort()
  }

  private refuse (): Refusal {
    return buildEndRefusal(this.options.tools.random, this.options.getRan())
  }
}
