import type { Clock } from './clock.js'

/** `period` in ms. `run` returns whether it needs to run again. */
interface OnDemandTaskOptions {
  readonly clock: Pick<Clock, 'every'>
  readonly period: number
  readonly run: () => boolean
}

/** A periodic task that has no timer while there is nothing to do. */
export class OnDemandTask {
  private cancel: (() => void) | undefined

  constructor (private readonly options: OnDemandTaskOptions) {}

  /** Runs the task every period until it returns false. */
  wake (): void {
    this.cancel ??= this.options.clock.every(this.options.period, () => { if (!this.options.run()) this.stop() })
  }

  stop (): void {
    this.cancel?.()
    this.cancel = undefined
  }
}
