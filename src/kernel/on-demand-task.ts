import type { Clock } from './clock.js'

/** Times in ms. `run` says whether there is more to look for. */
interface OnDemandTaskOptions {
  readonly clock: Pick<Clock, 'every'>
  readonly period: number
  readonly run: () => boolean
}

/** A periodic task that sleeps while it has nothing to look for, and costs nothing then. */
export class OnDemandTask {
  private cancel: (() => void) | undefined

  constructor (private readonly options: OnDemandTaskOptions) {}

  /** Runs it every period from now on, until it says that there is nothing to look for. */
  wake (): void {
    this.cancel ??= this.options.clock.every(this.options.period, () => { if (!this.options.run()) this.stop() })
  }

  stop (): void {
    this.cancel?.()
    this.cancel = undefined
  }
}
