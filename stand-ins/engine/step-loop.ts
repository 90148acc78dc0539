import type { Batcher } from './batcher.js'

/** Runs a batcher's steps in real time while there is work. */
export class StepLoop {
  /** Factor on each step's length. */
  factor = 1
  private stepping = false
  private isPaused = false

  constructor (private readonly batcher: Batcher) {}

  /** Goes on after work was added. */
  wake (): void {
    if (!this.stepping && !this.isPaused) this.step()
  }

  /** Stops after the step that is running; what runs stays where it is. */
  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
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
