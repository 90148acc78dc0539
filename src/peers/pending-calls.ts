import type { Clock } from '../kernel/clock.js'

/** Calls numbered in a millisecond of the wall clock before the numbers of a process that starts in the next one. */
const CALLS_PER_MS = 1_000

/**
 * Calls to other daemons that await an answer. Each settles once: with the answer of the daemon called, or undefined on timeout. The numbers of
 * a process begin at its start: an answer to the process before it, of the same daemon, would otherwise settle another call.
 */
export class PendingCalls<T> {
  private readonly waiting = new Map<number, { readonly to: string, readonly settle: (answer?: T) => void }>()
  private calls: number

  constructor (private readonly clock: Pick<Clock, 'after' | 'date'>) {
    this.calls = Math.floor(clock.date()) * CALLS_PER_MS
  }

  /** Starts a call to the daemon `to`: calls `send` with its number. Resolves with its answer, or undefined after `timeout` ms. */
  async open (to: string, timeout: number, send: (call: number) => void): Promise<T | undefined> {
    const call = this.calls++
    return await new Promise(resolve => {
      const settle = (answer?: T): void => {
        cancel()
        this.waiting.delete(call)
        resolve(answer)
      }
      const cancel = this.clock.after(timeout, settle)
      this.waiting.set(call, { to, settle })
      send(call)
    })
  }

  /** Returns whether the call is pending and was sent to `from`. */
  has (call: number, from: string): boolean {
    return this.waiting.get(call)?.to === from
  }

  settle (call: number, answer: T | undefined): void {
    this.waiting.get(call)?.settle(answer)
  }

  /** Settles every pending call with undefined. */
  stop (): void {
    for (const { settle } of this.waiting.values()) settle()
  }
}
