import type { Clock } from '../../kernel/clock.js'
import { stepBatchAdmission } from './batch-admission.js'
import type { BatchAdmissionEffect } from './batch-admission-effect.js'
import type { BatchAdmissionEvent } from './batch-admission-event.js'
import type { BatchAdmissionOptions } from './batch-admission-options.js'
import type { BatchAdmissionState } from './batch-admission-state.js'
import { createBatchAdmission } from './create-batch-admission.js'
import type { StartedRun } from './started-run.js'

/** How long a run that is stopped gracefully may wait for its next tokens, ms. */
const LAST_READ_TIMEOUT = 250

interface ServerBatchOptions {
  readonly admission: BatchAdmissionOptions
  readonly clock: Clock
  /** Starts one item if there is one that prefills at most `prefill` tokens. */
  readonly start: (prefill: number) => StartedRun | undefined
}

/** Batch work on one server that this daemon owns: takes admission decisions, and starts and stops runs accordingly. */
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

  /** Runs in flight. */
  get count (): number {
    return this.stops.size
  }

  /** Items that could run at once. */
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
   * Stops each run right after its next tokens, or after `LAST_READ_TIMEOUT`. Sequences that started together end in
   * the same step; closing them immediately may repeat items that have just ended, some 20 at a time. The timeout is split into two
   * timers, because a delayed event loop runs due timers before it reads sockets: a single timer would close runs whose
   * end has already arrived.
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
   * Stops all runs and starts no more, because the server has another owner. Otherwise each run that ends would make
   * room and start another item, on a server that this daemon no longer tracks.
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
