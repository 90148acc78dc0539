import type { Batcher } from './batcher.js'

/** Runs a batcher's steps in real time while there is work. */
export class StepLoop {
  /** Factor on the duration of each step. */
  factor = 1
  private stepping = false
  private isPaused = false

  constructor (private readonly batcher: Batcher) {}

  /** Continues stepping after work was added. */
  wake (): void {
    if (!this.stepping && !this.isPaused) this.step()
  }

  /** Pauses after the current step; running sequences keep their state. */
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
