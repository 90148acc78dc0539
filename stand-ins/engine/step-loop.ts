import type { Batcher } from './batcher.js'

/** Runs a batcher's steps in real time while there is work. */
export class StepLoop {
  /** Factor on each step's length. */
  factor = 1
  private stepping = false
  private stopped = false

  constructor (private readonly batcher: Batcher) {}

  /** Goes on after work was added. */
  wake (): void {
    if (!this.stepping && !this.stopped) this.step()
  }

  /** Stops after the step that is running; what runs stays where it is. */
  freeze (): void {
    this.stopped = true
  }

  thaw (): void {
    this.stopped = false
    this.wake()
  }

  private step (): void {
    const duration = this.batcher.beginStep()
    this.stepping = duration > 0
    if (this.stepping) setTimeout(() => this.end(), duration * this.factor)
  }

  private end (): void {
    this.batcher.endStep()
    this.stepping = false
    this.wake()
  }
}
