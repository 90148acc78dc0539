import type { Clock } from '../kernel/clock.js'
import { stepBatchAdmission } from './batch-admission.js'
import type { BatchAdmissionEffect } from './batch-admission-effect.js'
import type { BatchAdmissionEvent } from './batch-admission-event.js'
import type { BatchAdmissionOptions } from './batch-admission-options.js'
import type { BatchAdmissionState } from './batch-admission-state.js'
import { createBatchAdmission } from './create-batch-admission.js'
import type { StartedRun } from './started-run.js'

/** How long a run that is stopped without haste may wait for its next tokens, ms. */
const LAST_READ_TIMEOUT = 250

interface ServerBatchOptions {
  readonly admission: BatchAdmissionOptions
  readonly clock: Clock
  /** Starts one item if there is one whose prefill is within `prefill` tokens. */
  readonly start: (prefill: number) => StartedRun | undefined
}

/** Batch work on one server that this daemon owns: the admission decisions and the runs that they start and stop. */
export class ServerBatch {
  admission: BatchAdmissionOptions
  private state: BatchAdmissionState
  private readonly stops = new Map<string, StartedRun['stop']>()
  private readonly gaps: number[] = []
  private closed = false

  constructor (private readonly options: ServerBatchOptions) {
    this.admission = options.admission
    this.state = createBatchAdmission(options.admission)
  }

  /** Runs under way. */
  get count (): number {
    return this.stops.size
  }

  /** Items that it could run at once. */
  get capacity (): number {
    return this.admission.policy.type === 'none' ? 0 : Math.ceil(this.state.limit)
  }

  handle (event: BatchAdmissionEvent): void {
    const { state, effects } = stepBatchAdmission(this.state, event, this.options.clock.now(), this.admission)
    this.state = state
    for (const effect of effects) {
      if (effect.type === 'preempt') this.stops.get(effect.id)?.()
      else this.start(effect)
    }
  }

  observe (gap: number): void {
    this.gaps.push(gap)
  }

  tick (): void {
    if (this.gaps.length > 0) this.handle({ type: 'observed', gap: this.gaps.reduce((sum, gap) => sum + gap, 0) / this.gaps.length })
    this.gaps.length = 0
    this.handle({ type: 'tick' })
  }

  end (id: string): void {
    this.stops.delete(id)
    this.handle({ type: 'ended', id })
  }

  /**
   * Stops each run right after its next tokens, or after 250 ms. Sequences that were begun together end in the same step:
   * stopped at once in that instant, some 20 items that had ended ran again. The 250 ms are waited out in two parts,
   * because a loop that is late runs timers before what has come in: in one, it closed runs that had ended long before.
   */
  stopAll (): void {
    const stopEach = (afterRead: boolean): void => {
      for (const stop of this.stops.values()) stop({ afterRead })
    }
    stopEach(true)
    const { clock } = this.options
    clock.after(LAST_READ_TIMEOUT / 2, () => clock.after(LAST_READ_TIMEOUT / 2, () => stopEach(false)))
  }

  /**
   * Stops all runs and starts none any more: the server has another owner. Each run that ends makes room, and without
   * this the end of the first one starts the next item for a server that nobody here keeps account of; the daemon crashed
   * on that, with all that it had in flight.
   */
  close (): void {
    this.closed = true
    this.stopAll()
  }

  private start ({ count, prefill, largest }: Extract<BatchAdmissionEffect, { type: 'start' }>): void {
    for (let i = 0, left = prefill; !this.closed && i < count && left > 0; i++) {
      const run = this.options.start(i === 0 ? largest : Math.min(left, largest))
      if (run === undefined) return
      left -= run.prefill
      this.stops.set(run.id, run.stop)
      this.handle({ type: 'started', id: run.id, prefill: run.prefill })
    }
  }
}
